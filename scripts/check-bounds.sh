#!/usr/bin/env bash
# Checks the results of `make bench` against benchmarks/bounds. The check is a
# program of this repository, so that CI needs neither python nor jq.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
"$build/fescueline-check-bounds" benchmarks/bounds "$build/bench-results"
