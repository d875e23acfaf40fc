#!/usr/bin/env bash
# What one daemon with one traffic thread adds to an engine alone, in one run.
set -euo pipefail
source "$(dirname "$0")/../lib.sh"
source "$ROOT/scripts/figures.sh"

OVERHEAD_ROUNDS=${OVERHEAD_ROUNDS:-5}
OVERHEAD_STREAMS=${OVERHEAD_STREAMS:-1000}
OVERHEAD_ENGINES=4

# Prints the daemon's idle memory and processor time: "rss_mb cpu_pct".
measure_idle() {
  local seconds=5 before after
  sleep 1
  before=$(cpu_ticks daemon)
  sleep $seconds
  after=$(cpu_ticks daemon)
  awk -v kb="$(rss_kb daemon)" -v ticks=$((after - before)) -v hz="$(getconf CLK_TCK)" \
    -v s=$seconds 'BEGIN { printf "%.1f %.2f\n", kb / 1024, 100 * ticks / hz / s }'
}

# The same load in turn at an engine and through the daemon.
measure_added_time() {
  local round common=(--threads 1 --rate 200 --duration 3 --lengths 256-4000 --outputs 16)
  for round in $(seq "$OVERHEAD_ROUNDS"); do
    "$LOAD" --targets "${ADDRESS[engine-1]}" --direct --seed "$round" "${common[@]}" \
      --csv "$RUN_DIR/direct.$round.csv" >"$RUN_DIR/direct.$round.txt"
    "$LOAD" --targets "${DAEMONS[0]}" --customers load-key --seed "$round" "${common[@]}" \
      --csv "$RUN_DIR/daemon.$round.csv" >"$RUN_DIR/daemon.$round.txt"
    grep -h outcomes "$RUN_DIR/direct.$round.txt" "$RUN_DIR/daemon.$round.txt" | paste -sd' '
  done
}

# Milliseconds more to the first token through the daemon, at a percentile.
added() {
  local through alone
  through=$(first_tokens "$RUN_DIR"/daemon.*.csv | percentile_ms "$1")
  alone=$(first_tokens "$RUN_DIR"/direct.*.csv | percentile_ms "$1")
  arithmetic "$through - $alone"
}

# Peak rate in closed loops: peak NAME LOOPS TOKENS_IN TOKENS_OUT.
measure_peak() {
  "$LOAD" --targets "${DAEMONS[0]}" --customers load-key --threads 4 --closed "$2" --duration 5 \
    --lengths "$3" --outputs "$4" --flat "$RUN_DIR/$1.json" >"$RUN_DIR/$1.txt"
  grep -E 'outcomes|rates|problem' "$RUN_DIR/$1.txt" | sed "s/^/$1: /"
}

# Resident memory more for each open stream, in bytes.
measure_streams() {
  local before open load_pid
  before=$(rss_kb daemon)
  "$LOAD" --targets "${DAEMONS[0]}" --customers load-key --threads 2 \
    --closed "$OVERHEAD_STREAMS" --duration 8 --drain-timeout 1 --lengths 64 --outputs 60 \
    >"$RUN_DIR/streams.txt" &
  load_pid=$!
  sleep 6
  open=$(rss_kb daemon)
  wait $load_pid
  grep -E 'outcomes|problem' "$RUN_DIR/streams.txt" | sed 's/^/streams: /' >&2
  echo $(((open - before) * 1024 / OVERHEAD_STREAMS))
}

measure_overhead() {
  local engine idle stream_bytes p50 p99
  deployment_begin
  start_platform
  for engine in $(seq $OVERHEAD_ENGINES); do
    start_engine "engine-$engine" home --time-scale 0 --max-running 10000 --tokens-per-frame 8
  done
  declare_customer load
  declare_intent
  start_daemon daemon home --threads 1
  wait_ready
  idle=$(measure_idle)
  measure_added_time
  p50=$(added 0.5)
  p99=$(added 0.99)
  measure_peak short 64 64 1
  measure_peak tokens 64 64 2000
  local requests tokens
  requests=$(value "$RUN_DIR/short.json" /requests_s)
  tokens=$(value "$RUN_DIR/tokens.json" /tokens_s)
  deployment_end

  deployment_begin
  start_platform
  start_engine engine-1 home --step-base-us 200000 --decode-us 0 --max-running 10000 \
    --memory-tokens 1000000000
  declare_customer load
  declare_intent
  start_daemon daemon home --threads 1
  wait_ready
  stream_bytes=$(measure_streams)
  printf 'overhead: ttft_added_p50_ms=%s ttft_added_p99_ms=%s requests_s=%.0f tokens_s=%.0f' \
    "$p50" "$p99" "$requests" "$tokens"
  printf ' bytes_per_stream=%s idle_rss_mb=%s idle_cpu_pct=%s\n' "$stream_bytes" ${idle% *} \
    "${idle#* }"
}

measure_overhead
