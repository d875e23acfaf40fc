#!/usr/bin/env bash
# What callers got by the size of their prompts: sizes.sh LOG... (decision lines of a day, all VMs)
#
# Of each route with prompts: all, the largest tenth, the fifth below it, and the rest. Each line has
# the tries, how many were refused because others came first, because the streams of the engines
# bore no more, for memory, as the engines had too much to read, and for any other reason; how many
# began, and of those which ended in time, late, or not whole. A caller that comes back is counted
# anew with each try.
set -euo pipefail

. "$(dirname "${BASH_SOURCE[0]}")/../decision_lines.sh"
require_logs "$@"

ended() {
  awk "$DECISION_FIELDS"'
    FNR == 1 { day++ }
    /"event":"placed"/ { placed[day, text("request")] = 1; next }
    /"event":"request ended"/ && !/"tokens":0[,}]/ {
      outcome = text("outcome"); why = text("why"); fate = "broken"
      begun = (day, text("request")) in placed
      if (outcome == "denied") next
      if (outcome == "complete") {
        kept = in_target(number("first_ms"), number("longest_gap_ms"), number("aim_ms"),
                          number("gap_aim_ms"))
        fate = kept ? "in_time" : "late"
      } else if (outcome == "refused") {
        fate = why ~ /others came first/ ? "order" : why ~ /bear no more/ ? "streams" : \
          why ~ /memory/ ? "memory" : why ~ /too much to read/ ? "reading" : "other"
      }
      print text("route"), number("tokens"), fate, begun
    }' "$@"
}

ended "$@" | sort -k1,1 -k2,2nr | awk '
  function add(size, fate, begun) {
    asked[size]++; fates[size, fate]++; began[size] += begun
  }
  function flush(   i, tenth, size) {
    if (count == 0) return
    tenth = int(count / 10)
    for (i = 1; i <= count; i++) {
      size = i <= tenth ? "largest_tenth" : i <= 3 * tenth ? "next_fifth" : "rest"
      add("all", fate_of[i], begun_of[i]); add(size, fate_of[i], begun_of[i])
    }
    split("all largest_tenth next_fifth rest", sizes, " ")
    for (i = 1; i <= 4; i++) {
      printf "%-14s %-13s %6d", route, sizes[i], asked[sizes[i]]
      for (f = 1; f <= 5; f++) printf " %7d", fates[sizes[i], columns[f]]
      printf " %7d", began[sizes[i]]
      for (f = 6; f <= 8; f++) printf " %7d", fates[sizes[i], columns[f]]
      printf "\n"
    }
    delete asked; delete fates; delete began; count = 0
  }
  BEGIN {
    split("order streams memory reading other in_time late broken", columns, " ")
    printf "%-14s %-13s %6s %7s %7s %7s %7s %7s %7s %7s %7s %7s\n", "route", "size", "tries", \
      "order", "streams", "memory", "reading", "other", "begun", "in_time", "late", "broken"
  }
  $1 != route { flush(); route = $1 }
  { count++; fate_of[count] = $3; begun_of[count] = $4 }
  END { flush() }'
