#!/usr/bin/env bash
# Cost of an idle daemon against the number of daemons in its data centre, and with an intent of the
# target's size. Real daemons on loopback; control bytes from /metrics, processor time and resident
# memory from /proc.
#
#   SIZES="8 16 32 70 110 150"  numbers of daemons
#   SETTLE_S=15 WINDOW_S=20     seconds before and of each measurement
#   SKIP_TARGET=1 SKIP_LOADED=1 leave out a part
set -euo pipefail
cd "$(dirname "$0")/../.."
source scripts/lib.sh

SIZES=${SIZES:-8 16 32 70 110 150}
SETTLE_S=${SETTLE_S:-15}
WINDOW_S=${WINDOW_S:-20}
DATA_CENTRE=local
TARGET_ENDPOINTS=7100
TARGET_CUSTOMERS=1300
TARGET_NODES=8
LOADED_NODES=8
CHANGES=10
LOADED_ENGINES=8
LOADED_RATE=80
ROWS=''

# control_bytes: sum over all daemons of what they sent and received.
control_bytes() {
  local address total=0 value
  for address in "${DAEMONS[@]}"; do
    value=$(http_call GET "$address" /metrics \
      | awk '/^stackquay_control_bytes_(in|out)_total/ { sum += $2 } END { printf "%d", sum }')
    total=$((total + value))
  done
  echo "$total"
}

sum_over_daemons() {
  local function=$1 count=$2 index total=0
  for ((index = 1; index <= count; index++)); do
    total=$((total + $("$function" "node-$index")))
  done
  echo "$total"
}

milliseconds() {
  echo $(($(date +%s%N) / 1000000))
}

# The number of members that the first daemon knows.
members() {
  "$BIN/stackquayctl" --address "${DAEMONS[0]}" --key operator-key show vms | grep -c '^node-'
}

start_nodes() {
  local count=$1 index seed=''
  start_daemon node-1 "$DATA_CENTRE" --log-level warn,control=info
  seed=$(grep -o 'udp=[0-9.:]*' "$RUN_DIR/node-1.log" | head -1 | cut -d= -f2)
  [ -n "$seed" ] || fail 'no UDP address of the first daemon'
  for ((index = 2; index <= count; index++)); do
    start_daemon "node-$index" "$DATA_CENTRE" --seeds "$seed"
  done
  wait_ready
}

# measure_nodes COUNT: sets BYTES, CPU (per cent of a core) and RSS (MB), each for one node.
measure_nodes() {
  local count=$1 bytes ticks elapsed started hertz
  hertz=$(getconf CLK_TCK)
  sleep "$SETTLE_S"
  bytes=$(control_bytes)
  started=$(milliseconds)
  ticks=$(sum_over_daemons cpu_ticks "$count")
  sleep "$WINDOW_S"
  ticks=$(($(sum_over_daemons cpu_ticks "$count") - ticks))
  elapsed=$(($(milliseconds) - started))
  bytes=$(($(control_bytes) - bytes))
  RSS=$(sum_over_daemons rss_kb "$count")
  BYTES=$(awk -v v="$bytes" -v n="$count" -v t="$elapsed" 'BEGIN { printf "%.0f", v * 1000 / t / n }')
  CPU=$(awk -v v="$ticks" -v n="$count" -v t="$elapsed" -v hz="$hertz" \
    'BEGIN { printf "%.3f", v * 100 * 1000 / hz / t / n }')
  RSS=$(awk -v v="$RSS" -v n="$count" 'BEGIN { printf "%.1f", v / 1024 / n }')
}

measure_size() {
  local count=$1
  deployment_begin
  start_platform
  note_data_centre "$DATA_CENTRE"
  declare_customer capacity
  declare_intent
  start_nodes "$count"
  measure_nodes "$count"
  printf '%6d %12s %10s %8s %8d\n' "$count" "$BYTES" "$CPU" "$RSS" "$(members)"
  ROWS+="$count $BYTES $CPU $RSS"$'\n'
  deployment_end
}

# All endpoints lie in other data centres, so that the cost is that of knowing them.
declare_target() {
  local index
  DATA_CENTRES=("$DATA_CENTRE")
  for ((index = 1; index <= 16; index++)); do
    DATA_CENTRES+=("dc-$index")
  done
  for ((index = 0; index < TARGET_ENDPOINTS; index++)); do
    ENDPOINTS_JSON+=("{\"name\":\"engine-$index\",\"kind\":\"engine\",\
\"address\":\"10.$((index / 62500)).$((index / 250 % 250)).$((index % 250 + 1)):8000\",\
\"data_centre\":\"dc-$((index % 16 + 1))\",\"models\":[\"$MODEL\"],\"checks_fencing\":true}")
  done
  while read -r index hash; do
    CUSTOMERS_JSON+=("{\"name\":\"customer-$index\",\"key_hashes\":[\"$hash\"],\
\"tokens_per_second\":4000,\"concurrency\":64}")
  done < <(seq "$TARGET_CUSTOMERS" | while read -r index; do
    echo "$index $(printf 'key-%d' "$index" | sha256sum | cut -d' ' -f1)"
  done)
}

measure_target_intent() {
  deployment_begin
  start_platform
  declare_target
  intent_json 0 >"$RUN_DIR/size.json"
  local bytes
  bytes=$(wc -c <"$RUN_DIR/size.json")
  echo "intent of $TARGET_ENDPOINTS endpoints and $TARGET_CUSTOMERS customers: $bytes bytes of JSON"
  "$BIN/stackquayctl" --platform "${ADDRESS[platform]}" --file "$RUN_DIR/size.json" init
  start_nodes "$TARGET_NODES"
  measure_nodes "$TARGET_NODES"
  printf 'with it, N=%d: node_bytes_s=%s node_cpu_pct=%s node_rss_mb=%s\n' \
    "$TARGET_NODES" "$BYTES" "$CPU" "$RSS"
  measure_changes "$BYTES"
  deployment_end
}

# What one change of the intent costs a node, given the bytes a second without changes.
measure_changes() {
  local idle=$1 index bytes ticks started elapsed hertz
  hertz=$(getconf CLK_TCK)
  bytes=$(control_bytes)
  ticks=$(sum_over_daemons cpu_ticks "$TARGET_NODES")
  started=$(milliseconds)
  for ((index = 1; index <= CHANGES; index++)); do
    "$BIN/stackquayctl" --address "${DAEMONS[0]}" --key operator-key --wait \
      set customer customer-7 concurrency = "$index" >"$RUN_DIR/change.txt" 2>&1 \
      || { cat "$RUN_DIR/change.txt"; fail 'a change was not made'; }
  done
  elapsed=$(($(milliseconds) - started))
  ticks=$(($(sum_over_daemons cpu_ticks "$TARGET_NODES") - ticks))
  bytes=$(($(control_bytes) - bytes))
  awk -v b="$bytes" -v k="$ticks" -v t="$elapsed" -v n="$TARGET_NODES" -v c="$CHANGES" -v hz="$hertz" \
    -v idle="$idle" 'BEGIN {
      printf "a change, N=%d: node_bytes=%.0f node_cpu_ms=%.1f, waited for %.0f ms until in force\n",
        n, (b - idle * n * t / 1000) / n / c, k * 1000 / hz / n / c, t / c }'
}

# Control bytes for each request, with short prompts before fast stand-ins of engines.
measure_loaded() {
  local index targets='' started=0 ended=0 requests=0
  deployment_begin
  start_platform
  for ((index = 1; index <= LOADED_ENGINES; index++)); do
    start_engine "engine-$index" "$DATA_CENTRE" --time-scale 0.05 --memory-tokens 4000000
  done
  declare_customer capacity
  declare_intent
  start_nodes "$LOADED_NODES"
  sleep "$SETTLE_S"
  targets=$(IFS=,; echo "${DAEMONS[*]}")
  started=$(control_bytes)
  "$BIN/stackquay-load" --targets "$targets" --customers capacity-key=1 --rate "$LOADED_RATE" \
    --duration "$WINDOW_S" --lengths 1000-2000=1 --outputs 16-32 >"$RUN_DIR/load.txt"
  ended=$(control_bytes)
  requests=$((LOADED_RATE * WINDOW_S))
  cat "$RUN_DIR/load.txt"
  awk -v v="$((ended - started))" -v n="$LOADED_NODES" -v t="$WINDOW_S" -v r="$requests" \
    -v idle="$IDLE_BYTES" 'BEGIN {
      printf "loaded, N=%d at %.0f requests/s a node: node_bytes_s=%.0f, ", n, r / t / n, v / t / n
      printf "of which a request %.0f bytes, sent and received\n", (v - idle * n * t) / r }'
  deployment_end
}

# Least squares of column $1 of ROWS against the number of nodes.
slope() {
  printf '%s' "$ROWS" | awk -v column="$1" '
    { n++; x += $1; y += $column; xx += $1 * $1; xy += $1 * $column }
    END { d = n * xx - x * x; printf "%.4f", d ? (n * xy - x * y) / d : 0 }'
}

main() {
  local size
  printf '%6s %12s %10s %8s %8s\n' nodes bytes/s cpu_pct rss_mb members
  for size in $SIZES; do
    measure_size "$size"
  done
  read -r size IDLE_BYTES CPU RSS < <(printf '%s' "$ROWS" | head -1)
  [ -n "${SKIP_LOADED:-}" ] || measure_loaded
  [ -n "${SKIP_TARGET:-}" ] || measure_target_intent
  read -r size BYTES CPU RSS < <(printf '%s' "$ROWS" | tail -1)
  echo "capacity: node_bytes_s=$BYTES node_cpu_pct=$CPU node_rss_mb=$RSS at N=$size;" \
    "slope_bytes=$(slope 2) slope_cpu=$(slope 3) slope_rss=$(slope 4)"
}

main
