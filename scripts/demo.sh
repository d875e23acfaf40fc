#!/usr/bin/env bash
# Installs, builds, and answers three requests through three daemons on loopback: a short hint, a
# walkthrough of 200,000 tokens, and a prize-draw submission. Ends everything that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_deps.sh
cmake --preset release >/dev/null
cmake --build --preset release --target stackquayd stackquayctl stackquay-standin | tail -1
source scripts/lib.sh

asked=0
whole=0

# ask NAME DAEMON EXPECTED CURL_ARGUMENT...: streams the answer; it counts if it ends as EXPECTED.
ask() {
  local name=$1 address=${ADDRESS[$2]} expected=$3
  shift 3
  asked=$((asked + 1))
  echo "--- $name, by $address"
  curl -sSN --max-time 60 -H 'Authorization: Bearer solver-app-key' "$@" \
    | tee "$RUN_DIR/answer" | cut -c1-160 | tail -4
  echo
  if tail -c 400 "$RUN_DIR/answer" | grep -q "$expected"; then
    whole=$((whole + 1))
  fi
}

# completion TOKENS: a streamed completion of a prompt of so many tokens of four bytes.
completion() {
  printf '{"model":"%s","max_tokens":24,"stream":true,"prompt":"' "$MODEL"
  head -c $(($1 * 4)) < <(yes 'clue 7d' | tr '\n' ' ')
  printf '"}'
}

deployment_begin
start_platform
for i in 1 2 3; do
  start_engine "forge-$i" dundee-hall --time-scale 0.1 --memory-tokens 400000
done
start_service entry-desk-1 dundee-hall entry-desk
declare_customer solver-app '"share":1,"priority":10'
intent_json 0 >"$RUN_DIR/intent.json"
"$BIN/stackquayctl" --platform "${ADDRESS[platform]}" --file "$RUN_DIR/intent.json" init
for i in 1 2 3; do
  start_daemon "desk-$i" dundee-hall
done
wait_ready

completion 1000 >"$RUN_DIR/hint.json"
completion 200000 >"$RUN_DIR/walkthrough.json"
ask 'short hint' desk-1 '\[DONE\]' \
  --data-binary "@$RUN_DIR/hint.json" "http://${ADDRESS[desk-1]}/v1/completions"
ask 'walkthrough of 200,000 tokens' desk-2 '\[DONE\]' \
  --data-binary "@$RUN_DIR/walkthrough.json" "http://${ADDRESS[desk-2]}/v1/completions"
ask 'prize-draw submission' desk-3 'GRID 4711' -H 'Idempotency-Key: solver-17-week-49' \
  --data 'GRID 4711' "http://${ADDRESS[desk-3]}/service/entry-desk/submit"

echo '--- stackquayctl show vms'
"$BIN/stackquayctl" --address "${ADDRESS[desk-1]}" --key operator-key show vms
echo '--- stackquayctl show endpoints'
"$BIN/stackquayctl" --address "${ADDRESS[desk-1]}" --key operator-key show endpoints
echo "demo: $whole of $asked answered whole"
[ "$whole" -eq "$asked" ]
