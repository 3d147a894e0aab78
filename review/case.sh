#!/usr/bin/env bash
# Runs the program of a case in a temporary folder: case.sh FOLDER PROGRAM
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$1" || exit 2
export LAVENDERFLOW_BINARY="$root/target/release/lavenderflow"
[ -x "$LAVENDERFLOW_BINARY" ] || { echo "could not run: build lavenderflow first" >&2; exit 2; }
[ -x "$root/target/review/release/$2" ] || { echo "could not run: run review/build.sh first" >&2; exit 2; }
CASE_FOLDER=$(mktemp -d) || exit 2
export CASE_FOLDER
timeout -k 5 115 "$root/target/review/release/$2"
status=$?
# The program could not end its nodes if it gave up or took too long.
[ -f "$CASE_FOLDER/processes" ] && xargs -r kill -9 <"$CASE_FOLDER/processes" 2>/dev/null
rm -rf "$CASE_FOLDER"
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
