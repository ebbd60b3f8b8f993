#!/usr/bin/env bash
# Builds the stand-ins and checks of all review cases into target/review. Needs rustc alone: they use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
out=${CARGO_TARGET_DIR:-target}/review
mkdir -p "$out"
for main in review/[0-9]*/main.rs; do
  case=$(basename "$(dirname "$main")")
  rustc --edition 2021 -O -o "$out/case-$case" "$main"
done
