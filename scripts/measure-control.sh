#!/usr/bin/env bash
# Measures the control overhead of each node in an idle fleet: processor time,
# memory, threads, control bytes and reads of the table service.
#
#   scripts/measure-control.sh NODES ORGANISATIONS ROUTES [SETTLE_SECONDS]
#
# Prints one JSON object and appends it to build/measure/control.json.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/measure-fleet.sh
nodes=$1
organisations=$2
routes=$3
settle=${4:-45}
window=20
age_polls=5
max_nodes=140
if [ "$nodes" -gt "$max_nodes" ]; then
  echo "at most $max_nodes nodes, so that the machine stays usable" >&2
  exit 2
fi
work=$build/measure/control-$nodes-$organisations
rm -rf "$work"
mkdir -p "$work"
trap end_processes EXIT

# Writes the configuration records in one transaction.
load_configuration() {
  {
    printf '{"token":"measured-fleet","checks":[],"writes":['
    for ((i = 0; i < organisations; ++i)); do
      printf '{"key":"org/org-%d","value":"%s"},' "$i" \
        '{\"rate\":1000,\"burst\":1000,\"weight\":1}'
    done
    for ((i = 0; i < routes; ++i)); do
      [ "$i" -eq 0 ] || printf ','
      printf '{"key":"route/route-%d","value":"{%s}"}' "$i" \
        "\\\"service\\\":\\\"service-$i\\\",\\\"path_prefix\\\":\\\"/p$i\\\""
    done
    printf ']}'
  } >"$work/configuration.json"
  curl -sf --data-binary "@$work/configuration.json" \
    "$table_url/v1/tables/config/transact" >"$work/transact.json"
}

stat_of_table() {
  curl -sf "$table_url/control/stats" | grep -o "\"$1\":[0-9]*" | cut -d: -f2
}

# sample FILE: writes a line "cpu_ticks rss_kb private_kb threads" per node.
sample() {
  for pid in "${node_pids[@]}"; do
    printf '%s %s %s\n' \
      "$(sed 's/.*) //' "/proc/$pid/stat" | awk '{ print $12 + $13 }')" \
      "$(awk '/^Rss:/ { rss = $2 } /^Private_/ { own += $2 }
              END { print rss, own }' "/proc/$pid/smaps_rollup")" \
      "$(awk '/^Threads:/ { print $2 }' "/proc/$pid/status")"
  done >"$1"
}

# gauges FILE: writes a line "sent received age" per node.
gauges() {
  for ((i = 0; i < nodes; ++i)); do
    curl -sf "$(admin_url "$i")/metrics" |
      sed -n 's/^fescueline_node{value="\([a-z_]*\)"} /\1 /p' |
      awk '{ v[$1] = $2 } END { printf "%.0f %.0f %s\n",
             v["control_bytes_sent"], v["control_bytes_received"],
             v["knowledge_age_seconds"] }'
  done >"$1"
}

median() { sort -g | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'; }
largest() { sort -g | tail -1; }

start_table
load_configuration
node_pids=()
for ((i = 0; i < nodes; ++i)); do
  start_node "$i"
  node_pids+=("$started")
done
for ((i = 0; i < nodes; ++i)); do wait_ready "$i"; done
sleep "$settle"

gauges "$work/gauges0"
gauges_at0=$(date +%s.%N)
reads0=$(stat_of_table reads)
writes0=$(stat_of_table writes)
sample "$work/sample0"
at0=$(date +%s.%N)
sleep "$window"
sample "$work/sample1"
at1=$(date +%s.%N)
reads1=$(stat_of_table reads)
writes1=$(stat_of_table writes)
gauges "$work/gauges1"
gauges_at1=$(date +%s.%N)
for ((i = 0; i < age_polls; ++i)); do
  gauges "$work/ages$i"
  sleep 0.5
done
version=$(sed 's/.*"version":\([0-9]*\).*/\1/' "$work/transact.json")
while :; do
  size=$(curl -sf -o "$work/changes.json" \
    -w '%{size_request} %{size_header} %{size_download}' \
    "$table_url/v1/tables/config/changes?since=$version&limit=500")
  next=$(grep -o '"version":[0-9]*}$' "$work/changes.json" |
    grep -o '[0-9]*' || true)
  [ -n "$next" ] && [ "$next" != "$version" ] || break
  version=$next
done
read_bytes=$(awk '{ print $1 + $2 + $3 }' <<<"$size")

elapsed=$(awk "BEGIN { print $at1 - $at0 }")
gauges_elapsed=$(awk "BEGIN { print $gauges_at1 - $gauges_at0 }")
hertz=$(getconf CLK_TCK)
paste -d ' ' "$work/sample0" "$work/sample1" |
  awk "{ printf \"%.2f %.1f %.1f %d\n\", 100 * (\$5 - \$1) / $hertz / $elapsed,
         \$6 / 1024, \$7 / 1024, \$8 }" >"$work/nodes"
paste -d ' ' "$work/gauges0" "$work/gauges1" |
  awk "{ printf \"%.0f %.0f\n\", (\$4 - \$1) / $gauges_elapsed,
         (\$5 - \$2) / $gauges_elapsed }" >"$work/bytes"
reads=$(awk "BEGIN { printf \"%.1f\", ($reads1 - $reads0) / $elapsed }")
writes=$(awk "BEGIN { printf \"%.2f\", ($writes1 - $writes0) / $elapsed }")
column() { cut -d ' ' -f "$2" "$work/$1"; }
printf '{"commit":"%s","nodes":%d,"organisations":%d,"routes":%d,' \
  "$(commit_name)" "$nodes" "$organisations" "$routes" >"$work/result"
printf '"load_average":"%s","cpu_percent":{"median":%s,"max":%s},' \
  "$(cut -d ' ' -f 1-3 /proc/loadavg)" \
  "$(column nodes 1 | median)" "$(column nodes 1 | largest)" >>"$work/result"
printf '"rss_mb":%s,"private_mb":%s,"threads":%s,' \
  "$(column nodes 2 | median)" "$(column nodes 3 | median)" \
  "$(column nodes 4 | median)" >>"$work/result"
printf '"control_bytes_per_s":{"sent":%s,"received":%s,"sent_max":%s},' \
  "$(column bytes 1 | median)" "$(column bytes 2 | median)" \
  "$(column bytes 1 | largest)" >>"$work/result"
printf '"table":{"reads_per_s":%s,"writes_per_s":%s,"idle_read_bytes":%s,' \
  "$reads" "$writes" "$read_bytes" >>"$work/result"
printf '"bytes_per_node_s":%s},"knowledge_age_max_s":%s}\n' \
  "$(awk "BEGIN { printf \"%.0f\", $reads * $read_bytes / $nodes }")" \
  "$(cat "$work"/ages? | cut -d ' ' -f 3 | largest)" >>"$work/result"
tee -a "$build/measure/control.json" <"$work/result"
