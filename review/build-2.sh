#!/usr/bin/env bash
# Builds what the scripts of the second review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case.cpp; do
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$case" -o "target/review-2/case-$number"
done
