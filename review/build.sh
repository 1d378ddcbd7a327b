#!/bin/sh
# Builds the stand-ins of the review's scripts with the compiler alone: no package is needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O review/standin/main.rs -o target/review/standin
