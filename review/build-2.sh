#!/bin/sh
# Builds the stand-ins of review 2 (one program, the standard library only) into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2.rs
