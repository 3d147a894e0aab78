#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. Needs no network.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --offline --manifest-path review/cases-2/Cargo.toml \
    --target-dir target/review-2
