#!/bin/sh
# Builds the stand-ins and clients that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --locked --release --manifest-path review/harness/Cargo.toml --target-dir target/review
