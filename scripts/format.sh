#!/usr/bin/env bash
# Checks (default) or applies (--fix) the formatting of all C++ sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(--dry-run --Werror)
[ "${1:-}" = "--fix" ] && mode=(-i)
find src tests benchmarks tools apps platform $([ -d examples ] && echo examples) -name "*.h" -o -name "*.cpp" -o -name "*.inl" |
  xargs -r -P 8 -n 16 clang-format "${mode[@]}"
