#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start, from packages that the build of
# the deploy file has fetched already.
cd "$(dirname "$0")/.." || exit 1
exec cargo build --release --locked --offline --target-dir target/review-2 \
    --manifest-path review/harness-2/Cargo.toml
