#!/usr/bin/env bash
# Runs the test suite. Tests named in KNOWN-RED.txt (lines "test: NAME") run
# last; their failure is printed but does not fail the run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
known=()
if [ -f KNOWN-RED.txt ]; then
  while read -r name; do known+=("$name"); done < <(sed -n 's/^test: *//p' KNOWN-RED.txt)
fi
exclude=()
if [ "${#known[@]}" -gt 0 ]; then
  exclude=(-E "^($(IFS='|'; echo "${known[*]}"))\$")
fi
ctest --test-dir "$build" --output-on-failure -j 4 "${exclude[@]}"
for name in "${known[@]}"; do
  echo "known red (see KNOWN-RED.txt): $name"
  ctest --test-dir "$build" -R "^$name\$" || true
done
