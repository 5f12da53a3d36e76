#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand review/stand-2/main.rs
