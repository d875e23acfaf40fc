#!/usr/bin/env bash
# What engines' reading time became: goodput.sh LOG... (decision lines of a day, all VMs)
#
# Joins the "placed" and "request ended" lines of relayed model requests. A request's reading counts
# at its declared cost, once an attempt; what an attempt that was cut really read is not known, and
# writing is not counted. Fates:
#   in_target  complete, with first event and pauses as declared
#   late       complete, but with a first event or a pause beyond that
#   refused, failed (cut streams too), left (the client went)
#   repeated   attempts that another one followed
# Lines by length of the prompt (short: below 16 k tokens, middle: below 100 k, long) and by
# intervals of five seconds, with attempts that fell silent and ejections in each.
set -euo pipefail

. "$(dirname "${BASH_SOURCE[0]}")/../decision_lines.sh"
require_logs "$@"

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT

# A request has all its lines in one file; files of different days may name requests alike.
awk -v refusals="$scratch/refusals" -v errors="$scratch/errors" "$DECISION_FIELDS"'
  BEGIN {
    sort_refusals = "sort -n > \"" refusals "\""; sort_errors = "sort -n > \"" errors "\""
  }
  function class_of(tokens) { return tokens < 16000 ? "short" : tokens < 100000 ? "middle" : "long" }
  function fate_of(outcome, first, gap, aim, gap_aim) {
    if (outcome == "complete")
      return in_target(first, gap, aim, gap_aim) ? "in_target" : "late"
    if (outcome == "refused") return "refused"
    return outcome == "abandoned" ? "left" : "failed"
  }
  function spend(class, fate, interval, seconds) {
    spent[class, fate] += seconds; spent_all[fate] += seconds; all += seconds
    at[interval, fate] += seconds; at_all[interval] += seconds
  }
  function percentile(values, n, share,   i) {
    if (n == 0) return 0
    i = int(n * share); if (i < 1) i = 1
    return values[i]
  }
  FNR == 1 { day++ }
  /"event":"placed"/ {
    id = day SUBSEP text("request")
    n = ++attempts[id]
    read[id, n] = number("part_ms") * number("width") / 1000
    predicted[id] = number("predicted_ms"); waited[id] = number("wait_ms")
    next
  }
  /"event":"attempt failed"/ && /"why":"silent"/ { silent[int(number("time_ms") / 5000)]++; next }
  /"event":"endpoint ejected"/ { ejected[int(number("time_ms") / 5000)]++; next }
  /"event":"request ended"/ && !/"tokens":0[,}]/ {
    id = day SUBSEP text("request")
    interval = int((number("time_ms") - number("ms")) / 5000)
    if (!first_interval || interval < first_interval) first_interval = interval
    if (interval > last_interval) last_interval = interval
    seen[interval] = 1
    class = class_of(number("tokens"))
    fate = fate_of(text("outcome"), number("first_ms"), number("longest_gap_ms"), number("aim_ms"),
                   number("gap_aim_ms"))
    requests[class, fate]++
    for (i = 1; i <= attempts[id]; i++)
      spend(class, i == attempts[id] ? fate : "repeated", interval, read[id, i])
    if (fate == "refused" && attempts[id] == 0 && text("why") ~ /^too late/)
      print number("ms") | sort_refusals
    if (attempts[id] == 1 && predicted[id] > 0 && number("first_ms") > 0) {
      error = (number("first_ms") - waited[id] - predicted[id]) / predicted[id]
      print (error < 0 ? -error : error) | sort_errors
    }
  }
  END {
    close(sort_refusals); close(sort_errors)
    while ((getline value < refusals) > 0) refusal[++refusal_n] = value
    while ((getline value < errors) > 0) wrong[++wrong_n] = value
    split("in_target late refused failed left repeated", fates, " ")
    split("short middle long", classes, " ")
    printf "%-8s", "engine_s"
    for (f = 1; f <= 6; f++) printf " %16s", fates[f]
    printf "   (requests)\n"
    for (c = 1; c <= 3; c++) {
      printf "%-8s", classes[c]
      for (f = 1; f <= 6; f++)
        printf " %9.1f (%4d)", spent[classes[c], fates[f]], requests[classes[c], fates[f]]
      printf "\n"
    }
    printf "\n%-10s %9s %9s %9s %7s %8s\n", "from_s", "engine_s", "in_target", "late", "silent", "ejected"
    for (k = first_interval; k <= last_interval; k++) if (k in seen)
      printf "%-10d %9.1f %9.2f %9.2f %7d %8d\n", (k - first_interval) * 5, at_all[k],
        at_all[k] ? at[k, "in_target"] / at_all[k] : 0, at_all[k] ? at[k, "late"] / at_all[k] : 0,
        silent[k], ejected[k]
    if (all == 0) { print "goodput.sh: no placed model request in these logs" > "/dev/stderr"; exit 1 }
    printf "goodput: engine_s=%.1f in_target=%.3f late=%.3f wasted=%.3f refused_after_ms_p50=%d prediction_error_p90=%.2f\n",
      all, spent_all["in_target"] / all, spent_all["late"] / all,
      (all - spent_all["in_target"] - spent_all["late"]) / all,
      percentile(refusal, refusal_n, 0.5), percentile(wrong, wrong_n, 0.9)
  }
' "$@"
