#!/bin/sh
# Builds what the cases start beside the build of the deploy file: the project's control service, and the stand-ins, which
# use the standard library alone.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p sagearch-control
mkdir -p target/review
rustc --edition 2024 -O review/stand/stand.rs -o target/review/stand
