# Helpers for scripts that run a deployment on loopback: stand-ins and daemons with ports from the
# kernel, ended by their process ids. Source it from a script with `set -euo pipefail`.
#
#   deployment_begin
#   start_platform
#   start_engine NAME DATA_CENTRE [flag...]      any number, also start_service
#   declare_customer NAME [json members]         the key is NAME-key
#   declare_intent
#   start_daemon NAME DATA_CENTRE [flag...]      any number
#   wait_ready
#   deployment_end                               also runs when the script exits

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
BIN=${BIN:-$ROOT/build/bin}
CHARTS=${CHARTS:-$ROOT/charts}
MODEL=${MODEL:-hint-forge}
START_SECONDS=20

declare -A PID=()      # By process name.
declare -A ADDRESS=()  # By process name.
DAEMONS=()             # Addresses.
SEEDS=()               # UDP addresses of the daemons.
DATA_CENTRES=()
ENDPOINTS_JSON=()
CUSTOMERS_JSON=()
SERVICES=()
declare -A FIRST_UDP=()     # UDP address of the first daemon, by data centre.

fail() {
  echo "$(basename "$0"): $*" >&2
  exit 1
}

deployment_begin() {
  RUN_DIR=$(mktemp -d)
  trap deployment_end EXIT
  trap 'exit 130' INT TERM
}

# Ends what was started, daemons first, and forgets the deployment.
deployment_end() {
  local name
  for name in "${!PID[@]}"; do
    stop_process "$name"
  done
  PID=()
  ADDRESS=()
  DAEMONS=()
  SEEDS=()
  DATA_CENTRES=()
  ENDPOINTS_JSON=()
  CUSTOMERS_JSON=()
  SERVICES=()
  FIRST_UDP=()
  rm -rf "${RUN_DIR:-}"
}

# Ends one process by its id: politely, and after two seconds for good.
stop_process() {
  local name=$1 pid=${PID[$1]:-} tries=0
  [ -n "$pid" ] || return 0
  unset "PID[$name]"
  kill -TERM "$pid" 2>/dev/null || return 0
  while kill -0 "$pid" 2>/dev/null && [ $tries -lt 100 ]; do
    sleep 0.02
    tries=$((tries + 1))
    # A daemon that drains ends at once on a second signal.
    [ $tries -ne 5 ] || kill -TERM "$pid" 2>/dev/null || true
  done
  kill -KILL "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || true
}

# start_process NAME COMMAND...: runs it and waits for its line "ready address=A".
start_process() {
  local name=$1 line='' deadline=$((SECONDS + START_SECONDS))
  shift
  "$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.log" &
  PID[$name]=$!
  while [ -z "$line" ]; do
    line=$(grep -m1 '^ready ' "$RUN_DIR/$name.out" 2>/dev/null || true)
    if [ -z "$line" ]; then
      if ! kill -0 "${PID[$name]}" 2>/dev/null || [ $SECONDS -ge $deadline ]; then
        tail -5 "$RUN_DIR/$name.log" >&2
        fail "$name did not start"
      fi
      sleep 0.02
    fi
  done
  case $line in
    *udp=*) SEEDS+=("${line##*udp=}") ;;
  esac
  line=${line#*address=}
  ADDRESS[$name]=${line%% *}
}

# http_call METHOD ADDRESS PATH [FILE]: the whole answer on standard output.
http_call() {
  local method=$1 address=$2 path=$3 file=${4:-/dev/null} fd
  exec {fd}<>"/dev/tcp/${address%:*}/${address#*:}" || return 1
  {
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n' "$method" "$path" "$address"
    printf 'Content-Length: %d\r\n\r\n' "$(wc -c <"$file")"
    cat "$file"
  } >&$fd
  timeout 10 cat <&$fd
  exec {fd}>&-
}

# Whether GET of a path answers 200.
http_ok() {
  http_call GET "$1" "$2" 2>/dev/null | head -1 | grep -q ' 200'
}

put_object() {
  http_call PUT "${ADDRESS[platform]}" "/objects/$1" "$2" | head -1 | grep -q ' 200' \
    || fail "cannot write the object $1"
}

start_platform() {
  start_process platform "$BIN/stackquay-standin" platform "$@"
}

note_data_centre() {
  local known
  for known in "${DATA_CENTRES[@]}"; do
    [ "$known" != "$1" ] || return 0
  done
  DATA_CENTRES+=("$1")
}

start_engine() {
  local name=$1 data_centre=$2
  shift 2
  start_process "$name" "$BIN/stackquay-standin" engine "$@"
  note_data_centre "$data_centre"
  ENDPOINTS_JSON+=("{\"name\":\"$name\",\"kind\":\"engine\",\"address\":\"${ADDRESS[$name]}\",\
\"data_centre\":\"$data_centre\",\"models\":[\"$MODEL\"],\"checks_fencing\":true}")
}

# start_service NAME DATA_CENTRE SERVICE [flag...]: a service whose calls must not be repeated.
start_service() {
  local name=$1 data_centre=$2 service=$3
  shift 3
  start_process "$name" "$BIN/stackquay-standin" service "$@"
  note_data_centre "$data_centre"
  ENDPOINTS_JSON+=("{\"name\":\"$name\",\"kind\":\"service\",\"address\":\"${ADDRESS[$name]}\",\
\"data_centre\":\"$data_centre\",\"service\":\"$service\"}")
  case " ${SERVICES[*]} " in
    *" $service "*) ;;
    *) SERVICES+=("$service") ;;
  esac
}

# declare_customer NAME [JSON]: further members, such as '"share":4,"priority":10'.
declare_customer() {
  local hash
  hash=$(printf '%s-key' "$1" | sha256sum | cut -d' ' -f1)
  CUSTOMERS_JSON+=("{\"name\":\"$1\",\"key_hashes\":[\"$hash\"]${2:+,$2}}")
}

join_with_commas() {
  local IFS=,
  echo "$*"
}

# The intent of what was started, in the form of a snapshot at revision $1.
intent_json() {
  local data_centres=() services=() item
  for item in "${DATA_CENTRES[@]}"; do
    data_centres+=("{\"name\":\"$item\",\"region\":\"loopback\",\"relays\":[]}")
  done
  for item in "${SERVICES[@]}"; do
    services+=("{\"name\":\"$item\",\"repeatable\":false,\"retention_hours\":192}")
  done
  cat <<JSON
{"revision":$1,"weight_loads_at_once":2,
"regions":[{"name":"loopback"}],
"data_centres":[$(join_with_commas "${data_centres[@]}")],
"models":[{"name":"$MODEL","version":"1","versions":["1"],"adapters":[],"bytes_per_token":0,
"max_tokens":1100000,"max_span":4,"objective":"${OBJECTIVE:-short_slowdown}","replicas":[]}],
"services":[$(join_with_commas "${services[@]}")],
"endpoints":[$(join_with_commas "${ENDPOINTS_JSON[@]}")],
"customers":[$(join_with_commas "${CUSTOMERS_JSON[@]}")],
"objectives":[],
"operators":[{"name":"operator","key_hash":"$(printf operator-key | sha256sum | cut -d' ' -f1)",
"role":"change"}]}
JSON
}

# Writes the intent as revision 1: the snapshot, then the head that names it.
declare_intent() {
  local snapshot=intent/snapshot/00000001-scripts
  intent_json 1 >"$RUN_DIR/snapshot.json"
  printf '{"revision":1,"snapshot":"%s","changes":[]}' "$snapshot" >"$RUN_DIR/head.json"
  put_object "$snapshot" "$RUN_DIR/snapshot.json"
  put_object intent/head "$RUN_DIR/head.json"
}

start_daemon() {
  local name=$1 data_centre=$2
  shift 2
  local seeds=()
  [ -z "${FIRST_UDP[$data_centre]:-}" ] || seeds=(--seeds "${FIRST_UDP[$data_centre]}")
  start_process "$name" "$BIN/stackquayd" --vm "$name" --data-centre "$data_centre" \
    --platform "${ADDRESS[platform]}" --charts "$CHARTS" --drain-lag 0ms --log-level warn \
    "${seeds[@]}" "$@"
  DAEMONS+=("${ADDRESS[$name]}")
  : "${FIRST_UDP[$data_centre]:=$(sed -n 's/^ready .*udp=\([^ ]*\).*/\1/p' "$RUN_DIR/$name.out")}"
}

# Waits until every daemon is ready for callers.
wait_ready() {
  local address deadline=$((SECONDS + START_SECONDS))
  for address in "${DAEMONS[@]}"; do
    until http_ok "$address" /readyz; do
      [ $SECONDS -lt $deadline ] || fail "$address is not ready"
      sleep 0.05
    done
  done
}

# rss_kb NAME: resident memory of a process.
rss_kb() {
  awk '/^VmRSS:/ { print $2 }' "/proc/${PID[$1]}/status"
}

# cpu_ticks NAME: processor time used, in clock ticks.
cpu_ticks() {
  awk '{ print $14 + $15 }' "/proc/${PID[$1]}/stat"
}
