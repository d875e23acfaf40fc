#!/usr/bin/env bash
# Time to first token by length class and the slowdown of short requests, for each routing policy.
set -euo pipefail
source "$(dirname "$0")/../lib.sh"
source "$ROOT/scripts/figures.sh"
source "$ROOT/scripts/fleet.sh"

SEEDS=${SEEDS:-1 2}
SECONDS_EACH=${SECONDS_EACH:-20}
LOAD_SHARE=${LOAD_SHARE:-0.7}
POLICIES=${POLICIES:-round-robin least-reported steward}
MEAN_PROMPT_TOKENS=28900 # Of the tool's default mix: 1 k to 100 k, one in fifty up to 1 M.
SHORT_TOKENS=4096
OUT=$(mktemp -d)

# run_load POLICY SEED NAME [flag...]
run_load() {
  local policy=$1 seed=$2 name=$3
  shift 3
  "$LOAD" --targets "$(fleet_targets)" --customers "$FLEET_KEYS" --priorities 1 --seed "$seed" \
    --threads 2 --rate "$RATE" --duration "$SECONDS_EACH" --drain-timeout 60 --outputs 16-128 \
    --csv "$OUT/$policy.$seed.$name.csv" "$@" >"$OUT/$policy.$seed.$name.txt"
  echo "--- $policy, seed $seed, $name"
  cat "$OUT/$policy.$seed.$name.txt"
}

# slowdown POLICY SEED: short requests beside long ones against the same short ones alone, at p95.
slowdown() {
  local mixed alone
  mixed=$(first_tokens -c '<=4k' "$OUT/$1.$2.mixed.csv" | percentile_ms 0.95)
  alone=$(first_tokens -c '<=4k' "$OUT/$1.$2.alone.csv" | percentile_ms 0.95)
  arithmetic "$mixed / $alone"
}

# long_p95 POLICY SEED: milliseconds to the first token of prompts above 32 k tokens.
long_p95() {
  { first_tokens -c '<=128k' "$OUT/$1.$2.mixed.csv"; first_tokens -c '>128k' "$OUT/$1.$2.mixed.csv"; } \
    | percentile_ms 0.95
}

# Requests of all runs that neither completed nor were refused as not run.
failed() {
  awk -F, 'FNR > 1 && $9 != "complete" && $9 != "refused" { n++ } END { print n + 0 }' "$OUT"/*.csv
}

refused() {
  awk -F, 'FNR > 1 && $9 == "refused" { n++ } END { print n + 0 }' "$OUT"/*.csv
}

median() {
  sort -n | awk '{ v[NR] = $1 } END { print v[int((NR + 1) / 2)] }'
}

# per_policy FUNCTION: "round-robin=A least-reported=B now=C", medians over the seeds.
per_policy() {
  local policy seed line=
  for policy in $POLICIES; do
    local figure
    figure=$(for seed in $SEEDS; do "$1" "$policy" "$seed"; done | median)
    line+=" ${policy/steward/now}=$figure"
  done
  echo "${line# }"
}

RATE=$(arithmetic "$LOAD_SHARE * $(fleet_capacity $MEAN_PROMPT_TOKENS)")
echo "rate=$RATE/s seeds=$SEEDS load=$LOAD_SHARE"
for seed in $SEEDS; do
  for policy in $POLICIES; do
    start_fleet "$policy"
    run_load "$policy" "$seed" alone --skip-above $SHORT_TOKENS
    run_load "$policy" "$seed" mixed
    deployment_end
    echo "seed $seed $policy: short_slowdown_p95=$(slowdown "$policy" "$seed")" \
      "ttft_p95_long=$(long_p95 "$policy" "$seed")"
  done
done
echo "lengths: short_slowdown_p95 $(per_policy slowdown);" \
  "ttft_p95_long $(per_policy long_p95); failed=$(failed) refused=$(refused)"
rm -rf "$OUT"
