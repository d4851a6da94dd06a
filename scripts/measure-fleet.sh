# Functions for scripts that measure a fleet of processes on loopback. A script
# that sources them sets `trap end_processes EXIT`, which ends every process
# started here by its id when the script ends.

build=${BUILD:-build}
# First port; below the system's range of ephemeral ports.
first_port=${FIRST_PORT:-12000}
ports_per_node=5
pids=()

# Seconds until a process that does not stop is killed; a planned stop of an
# idle node takes 1 s.
stop_limit=15

is_running() { kill -0 "$1" 2>/dev/null; }

end_processes() {
  [ "${#pids[@]}" -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  local limit=$((SECONDS + stop_limit))
  for pid in "${pids[@]}"; do
    while is_running "$pid" && [ "$SECONDS" -lt "$limit" ]; do sleep 0.1; done
    if is_running "$pid"; then
      echo "process $pid did not stop within $stop_limit s; killed" >&2
      kill -9 "$pid" || true
    fi
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}

# start LOG COMMAND...: starts a process and sets $started to its id.
start() {
  local log=$1
  shift
  "$@" >"$log" 2>&1 &
  started=$!
  pids+=("$started")
}

# wait_for SECONDS COMMAND...: waits until the command succeeds.
wait_for() {
  local limit=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ "$SECONDS" -ge "$limit" ]; then
      echo "waited too long for: $*" >&2
      return 1
    fi
    sleep 0.2
  done
}

# port INDEX callers|target|peers|control|admin: prints the port of a node's
# listener.
port() {
  local offset
  case $2 in
    callers) offset=0 ;; target) offset=1 ;; peers) offset=2 ;;
    control) offset=3 ;; admin) offset=4 ;;
  esac
  echo $((first_port + 1 + ports_per_node * $1 + offset))
}

# start_table: starts the table service and writes the nodes' secrets.
start_table() {
  printf '%s' 'fleet-secret-of-a-measured-fleet-0123456789' >"$work/secret"
  printf '%s' 'operator-credential-of-a-measured-fleet' >"$work/credential"
  start "$work/table.log" "$build/fescueline-table-stand-in" \
    --listen "127.0.0.1:$first_port"
  table_url=http://127.0.0.1:$first_port
  wait_for 10 curl -sf "$table_url/control/stats"
}

# start_node INDEX: starts a node with the default limits.
start_node() {
  local file=$work/node$1.yaml
  cat >"$file" <<YAML
node: node-$1
data_centre: dc$(($1 % 4 + 1))
region: region1
listen:
  callers: 127.0.0.1:$(port "$1" callers)
  target: 127.0.0.1:$(port "$1" target)
  peers: 127.0.0.1:$(port "$1" peers)
  control: 127.0.0.1:$(port "$1" control)
  admin: 127.0.0.1:$(port "$1" admin)
advertise:
  peers: 127.0.0.1:$(port "$1" peers)
  control: 127.0.0.1:$(port "$1" control)
table: $table_url
fleet_secret_file: secret
operator_credential_file: credential
YAML
  start "$work/node$1.log" "$build/fescueline" node --settings "$file"
}

admin_url() { echo "http://127.0.0.1:$(port "$1" admin)"; }

wait_ready() { wait_for 30 curl -sf "$(admin_url "$1")/ready"; }

# ctl ARGUMENTS...: runs an operator command through the first node.
ctl() {
  "$build/fescueline" ctl --node "$(admin_url 0)" \
    --credential-file "$work/credential" "$@"
}

# commit_name: prints the commit of the measured programs. Set COMMIT if they
# were built from another commit than the checked out one.
commit_name() {
  if [ -n "${COMMIT:-}" ]; then
    printf "%s" "$COMMIT"
    return
  fi
  git rev-parse --short HEAD | tr -d '\n'
  git diff --quiet HEAD -- src || printf '%s' +changes
}
