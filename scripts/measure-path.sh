#!/usr/bin/env bash
# Measures the latency that two nodes add to that of a target, with separate
# processes on loopback: table stand-in, entry node, target's node, target.
# Writes build/measure/path.json; arguments go to fescueline-path-load.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measure-fleet.sh
work=$build/measure/path
rm -rf "$work"
mkdir -p "$work"
trap end_processes EXIT

start_table
start_node 0
entry_pid=$started
start_node 1
target_pid=$started
wait_ready 0
wait_ready 1
start "$work/target.log" "$build/fescueline-target-stand-in" --service fees \
  --slots 1000 --node "http://127.0.0.1:$(port 1 target)"
wait_for 10 grep -q listening "$work/target.log"
target=$(sed -n 's/^listening //p' "$work/target.log")

ctl org create acme --rate 1000000 --burst 1000000 --weight 1 >/dev/null
ctl route set fees --service fees --path /fees >/dev/null
key=$(ctl key grant acme | grep -o 'fk_[A-Za-z0-9_-]*' | head -1)
# Requests succeed once the organisation's allocation is accepted and its
# shares are issued.
wait_for 60 curl -sf -H "Authorization: Bearer $key" \
  "http://127.0.0.1:$(port 0 callers)/fees"
# Waits until the entry node's share of the rate and the target's ramp have
# grown.
sleep 15

echo "load average: $(cut -d ' ' -f 1-3 /proc/loadavg)" >&2
"$build/fescueline-path-load" --direct "$target" \
  --node "127.0.0.1:$(port 0 callers)" --path /fees --key "$key" \
  --pid "$entry_pid" --pid "$target_pid" --commit "$(commit_name)" "$@" \
  >"$build/measure/path.json"
echo "load average: $(cut -d ' ' -f 1-3 /proc/loadavg)" >&2
echo "$build/measure/path.json"
