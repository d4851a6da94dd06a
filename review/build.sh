#!/usr/bin/env bash
# Builds the stand-ins of the scripts into target/review/. Needs g++ and
# nlohmann-json3-dev, which the deploy file's build needs too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/Case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -pthread "$case" -o "target/review/case$number"
done
