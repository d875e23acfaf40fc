#!/usr/bin/env bash
# Work done, refusals, priority and fairness at twice the capacity, and the drain after it.
set -euo pipefail
source "$(dirname "$0")/../lib.sh"
source "$ROOT/scripts/figures.sh"
source "$ROOT/scripts/fleet.sh"

POLICIES=${POLICIES:-round-robin least-reported steward}
SEED=${SEED:-1}
PHASE_SECONDS=${PHASE_SECONDS:-15}
SETTLE_SECONDS=5 # Of each phase, before it is measured.
MEAN_PROMPT_TOKENS=13300 # Of 1 k to 50 k, log-uniform; counted as 1.06 for the answers.
OUT=$(mktemp -d)

# work FILE PHASE: prompt tokens a second of the requests completed in a phase, counted from 0.
work() {
  awk -F, -v from="$(($2 * PHASE_SECONDS + SETTLE_SECONDS))" -v to="$((($2 + 1) * PHASE_SECONDS))" '
    FNR > 1 && $9 == "complete" { end = ($1 + $14) / 1e6; if (end >= from && end < to) n += $6 }
    END { printf "%.0f\n", n / (to - from) }' "$1"
}

# share FILE CONDITION: complete requests of those that arrived at overload and meet a condition.
share() {
  awk -F, "FNR > 1 && \$3 == 1 && ($2) { n++; if (\$9 == \"complete\") c++ }
    END { printf \"%.3f\\n\", n ? c / n : 0 }" "$1"
}

count() {
  awk -F, "FNR > 1 && ($2) { n++ } END { print n + 0 }" "$1"
}

measure_policy() {
  local policy=$1 csv=$OUT/$1.csv capacity peak over refusal
  capacity=$(fleet_capacity $MEAN_PROMPT_TOKENS)
  start_fleet "$policy"
  "$LOAD" --targets "$(fleet_targets)" --customers "$FLEET_KEYS" --priorities 0.8,0.2 \
    --seed "$SEED" --threads 2 --lengths 1000-50000 --outputs 16-64 --deadline 4000 --drain-timeout 60 \
    --phases "$PHASE_SECONDS:$capacity,$PHASE_SECONDS:$(arithmetic "2 * $capacity"),$PHASE_SECONDS:$(arithmetic "0.5 * $capacity")" \
    --csv "$csv" --flat "$OUT/$policy.json" >"$OUT/$policy.txt"
  deployment_end
  echo "--- $policy, capacity $capacity/s"
  cat "$OUT/$policy.txt"
  peak=$(work "$csv" 0)
  over=$(work "$csv" 1)
  refusal=$(value "$OUT/$policy.json" /all/refusal_ms/p99)
  echo "overload: policy=$policy work_of_peak=$(arithmetic "$over / $peak")" \
    "refusal_p99_ms=$refusal refused=$(count "$csv" '$9 == "refused"')" \
    "failed=$(count "$csv" '$9 != "complete" && $9 != "refused"')" \
    "complete_high=$(share "$csv" '$5 == 1') complete_low=$(share "$csv" '$5 == 0')" \
    "complete_largest=$(share "$csv" '$4 == 0') complete_small=$(share "$csv" '$4 >= 3')" \
    "drained_s=$(arithmetic "$(value "$OUT/$policy.json" /elapsed_s) - 3 * $PHASE_SECONDS")" \
    | tee -a "$OUT/lines"
}

for policy in $POLICIES; do
  measure_policy "$policy"
done
cat "$OUT/lines"
rm -rf "$OUT"
