#!/usr/bin/env bash
# Runs clang-tidy over the sources in src, apps, platform and tools. Skips a file
# if neither it nor any header nor the configuration has changed since its last
# clean run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cache=${FESCUELINE_LINT_CACHE:-$build/lint-cache}
mkdir -p "$cache"
# A header can change the result of any file, so the cache key covers all
# headers.
headers=$( (cat .clang-tidy; find src tools apps platform -name '*.h' -o -name '*.inl' | LC_ALL=C sort | xargs -r cat) | sha256sum | cut -c1-32)
export build cache headers
lint_one() {
  local key
  key=$(cat "$1" | sha256sum | cut -c1-32)-$headers-$(echo "$1" | tr / _)
  [ -e "$cache/$key" ] && return 0
  if clang-tidy --quiet -p "$build" "$1" >"$cache/$key.log" 2>/dev/null; then
    rm -f "$cache/$key.log"
    touch "$cache/$key"
  else
    cat "$cache/$key.log"
    rm -f "$cache/$key.log"
    return 1
  fi
}
export -f lint_one
find src apps tools platform -name '*.cpp' | LC_ALL=C sort | xargs -r -P "${LINT_JOBS:-$(nproc)}" -I{} bash -c 'lint_one {}'
