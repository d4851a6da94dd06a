#!/usr/bin/env bash
# Runs every benchmark program and writes one JSON file for each to
# build/bench-results, with the commit in the context block.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
out=$build/bench-results
mkdir -p "$out"
commit=$(git rev-parse --short HEAD)
for binary in "$build"/*Bench; do
  [ -x "$binary" ] || continue
  "$binary" --benchmark_context=commit="$commit" \
    --benchmark_out="$out/$(basename "$binary").json" --benchmark_out_format=json
done
