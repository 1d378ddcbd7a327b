#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8. They need the toolchain's standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standin review/standin-2/main.rs
