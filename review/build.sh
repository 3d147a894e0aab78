#!/usr/bin/env bash
# Builds the stand-ins of the cases, without a network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
