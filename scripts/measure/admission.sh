#!/usr/bin/env bash
# What admission did by rank, class, size and customer: admission.sh LOG... (lines of all VMs)
set -euo pipefail

usage() {
  cat <<'END'
usage: admission.sh LOG...

Reads the decision lines of all VMs of one period, from one file or several; a line may be preceded
by a time and the name of a VM. Lines are joined by their field "request". Prints three tables:

  tries        by rank, by class (latency target / gap limit, ms), by size of prompt within each
               class (largest tenth, next fifth, rest) and of the ten customers with most tokens
  too late     the lines "too late to begin" by class and reason, with medians of their fields
  predictions  time to the first event less the predicted one, by class; below zero: earlier

A try counts as one when VMs forward it; the line of the VM that its client reached is used. Tries
with outcome "denied" are left out. A caller that comes back is counted anew. "ref_slow": refused
after more than an eighth of the latency target; "ret_served": of the returned, those served. Class
0/0: no targets, or refused before the route was known. Predictions are compared for tries that
were not forwarded, with the last attempt placed before the first event. "-": the log does not have
the field, or has nothing to take it from.
END
}

case ${1:-} in
  -h | --help) usage; exit 0 ;;
  '') usage >&2; exit 2 ;;
esac
. "$(dirname "${BASH_SOURCE[0]}")/../decision_lines.sh"
require_logs "$@"

# Prints a row for each try, each line "too late to begin", and each prediction. The second to fourth
# columns are latency target, gap limit and, for tries, tokens.
joined() {
  awk "$DECISION_FIELDS"'
    function present(key) { return index($0, "\"" key "\":") > 0 }
    function value(key) { return present(key) ? number(key) : "-" }
    function flag(key) { return present(key) ? index($0, "\"" key "\":true") > 0 : "-" }
    function word(key) { return text(key) == "" ? "(none)" : text(key) }
    BEGIN { OFS = "\t" }
    !/}[[:space:]]*$/ { next } # The line is still being written.
    { id = text("request") }
    /"event":"request forwarded"/ { forwarded[id] = 1 }
    /"event":"placed"/ {
      n = ++placements[id]; placed_after[id, n] = number("wait_ms")
      predicted[id, n] = number("predicted_ms")
    }
    /"event":"too late to begin"/ {
      late_id[++lates] = id
      late[lates] = word("why") OFS value("ahead") OFS value("waiting") OFS value("leaves_ms") OFS \
        value("engines") OFS value("turn_ms") OFS value("latest_turn_ms") OFS value("retry_ms") OFS \
        flag("place")
    }
    /"event":"request ended"/ && !/"outcome":"denied"/ {
      n = ++tries; id_of[n] = id; ms[n] = number("ms"); first_ms[n] = number("first_ms")
      outcome = text("outcome"); aim = number("aim_ms"); gap_aim = number("gap_aim_ms")
      class_of[id] = aim OFS gap_aim
      # Plain services have no first event: their whole answer is due within the target.
      first = first_ms[n] == 0 && gap_aim == 0 ? ms[n] : first_ms[n]
      in_time = outcome == "complete" && in_target(first, number("longest_gap_ms"), aim, gap_aim)
      ended[n] = number("tokens") OFS value("rank") OFS word("customer") OFS outcome OFS ms[n] OFS \
        in_time OFS flag("returned")
      # Of the VMs that had a forwarded try, the one that the client reached had it for longest.
      if (!(id in longest) || ms[n] > ms[longest[id]]) longest[id] = n
    }
    END {
      for (i = 1; i <= lates; i++) {
        class = late_id[i] in class_of ? class_of[late_id[i]] : "-" OFS "-"
        print "late", class, 0, late[i]
      }
      for (t = 1; t <= tries; t++) {
        id = id_of[t]; best = 0
        if (id in forwarded && longest[id] != t) continue
        print "try", class_of[id], ended[t]
        if (id in forwarded || first_ms[t] == 0) continue
        # The first event came from the last attempt that was placed before it.
        for (i = 1; i <= placements[id]; i++)
          if (predicted[id, i] > 0 && placed_after[id, i] <= first_ms[t]) best = i
        if (best)
          print "prediction", class_of[id], 0, \
            first_ms[t] - placed_after[id, best] - predicted[id, best]
      }
    }' "$@"
}

# Sorted by class, and the tries of a class by falling size; equal ones stay in the log's order.
joined "$@" | LC_ALL=C sort -s -t $'\t' -k1,1r -k2,2n -k3,3n -k4,4nr | awk -F '\t' '
  # Shell sort of list[group, 1..n].
  function sort_list(list, group, n,   gap, i, j, x) {
    for (gap = int(n / 2); gap > 0; gap = int(gap / 2))
      for (i = gap + 1; i <= n; i++) {
        x = list[group, i]
        for (j = i; j > gap && list[group, j - gap] > x; j -= gap)
          list[group, j] = list[group, j - gap]
        list[group, j] = x
      }
  }
  function quantile(list, group, n, part,   at) {
    at = int(part * n); if (at < part * n) at++
    return n ? list[group, at] : "-"
  }
  function add(group) {
    if (!(group in tries)) {
      order[++groups] = group; returned[group] = "-"
      if (group ~ /^rank/) ranks[1, ++rank_count] = $5 == "-" ? "-" : $5 + 0
    }
    tries[group]++; tokens[group] += $4
    served[group] += $7 == "complete"; in_time[group] += $9
    if ($10 != "-") {
      returned[group] += $10; returned_served[group] += $10 && $7 == "complete"
    }
    if ($7 == "refused") {
      refusal[group, ++refused[group]] = $8 + 0
      if ($8 > 500) slow[group]++
    }
  }
  # Gives the tries of one class, which come by falling size, to their sizes.
  function flush(   i, n, tenth, size, current) {
    n = held; held = 0; tenth = int(n / 10); current = $0
    for (i = 1; i <= n; i++) {
      $0 = rows[i]
      size = i <= tenth ? "largest tenth" : i <= 3 * tenth ? "next fifth" : "rest"
      add("size\t" name "\t" size)
    }
    $0 = current
  }
  function print_group(group, label) {
    sort_list(refusal, group, refused[group])
    printf "%-34s %7d %7d %7d %7d %8s %8s %9d %8s %10s %11d\n", label, tries[group], served[group],
      in_time[group], refused[group], quantile(refusal, group, refused[group], 0.5),
      quantile(refusal, group, refused[group], 0.9), slow[group], returned[group],
      returned[group] == "-" ? "-" : returned_served[group] + 0, tokens[group]
  }
  function print_kind(kind,   i, parts, label) {
    for (i = 1; i <= groups; i++) {
      split(order[i], parts, "\t")
      if (parts[1] != kind) continue
      label = kind == "size" ? parts[2] " " parts[3] : parts[2]
      print_group(order[i], kind " " label)
    }
  }
  function print_customers(   k, i, best) {
    for (k = 1; k <= 10; k++) {
      best = ""
      for (i = 1; i <= groups; i++)
        if (order[i] ~ /^customer\t/ && !(order[i] in shown) && tokens[order[i]] > 0 \
            && (best == "" || tokens[order[i]] > tokens[best])) best = order[i]
      if (best == "") return
      shown[best] = 1; print_group(best, "customer " substr(best, 10))
    }
  }
  function median(kind,   list) {
    sort_list(field, kind, filled[kind])
    return quantile(field, kind, filled[kind], 0.5)
  }
  { class = $2 == "-" ? "-" : $2 "/" $3 }
  $1 == "try" {
    if (class != name) { flush(); name = class }
    add("rank\t" $5); add("class\t" class); add("customer\t" $6)
    if ($4 > 0) rows[++held] = $0
    next
  }
  $1 == "late" {
    reason = class "\t" $5
    if (!(reason in late)) reasons[++reason_count] = reason
    late[reason]++
    for (i = 6; i <= 12; i++)
      if ($i != "-") field[reason "\t" i, ++filled[reason "\t" i]] = $i + 0
    if ($13 != "-") places[reason] += $13; else if (!(reason in places)) places[reason] = "-"
    next
  }
  {
    if (!(class in predictions)) predicted_class[++predicted_classes] = class
    error[class, ++predictions[class]] = $5 + 0
  }
  END {
    flush()
    printf "%-34s %7s %7s %7s %7s %8s %8s %9s %8s %10s %11s\n", "tries", "tries", "served",
      "in_time", "refused", "ref_p50", "ref_p90", "ref_slow", "returned", "ret_served", "tokens"
    sort_list(ranks, 1, rank_count)
    for (r = 1; r <= rank_count; r++) print_group("rank\t" ranks[1, r], "rank " ranks[1, r])
    print_kind("class"); print_kind("size"); print_customers()
    printf "\n%-12s %-52s %6s %6s %7s %5s %7s %7s %9s %8s %6s\n", "too late", "reason", "lines",
      "ahead", "waiting", "leaves_ms", "engines", "turn_ms", "latest_turn_ms", "retry_ms", "places"
    for (r = 1; r <= reason_count; r++) {
      split(reasons[r], parts, "\t")
      printf "%-12s %-52s %6d", parts[1], parts[2], late[reasons[r]]
      split("6 7 5 7 7 9 8", widths, " ")
      for (i = 6; i <= 12; i++) printf " %" widths[i - 5] "s", median(reasons[r] "\t" i)
      printf " %6s\n", places[reasons[r]]
    }
    printf "\n%-12s %8s %8s %8s %8s\n", "predictions", "requests", "p50_ms", "p90_ms", "p99_ms"
    for (i = 1; i <= predicted_classes; i++) {
      class = predicted_class[i]; n = predictions[class]; sort_list(error, class, n)
      printf "%-12s %8d %8s %8s %8s\n", class, n, quantile(error, class, n, 0.5),
        quantile(error, class, n, 0.9), quantile(error, class, n, 0.99)
    }
  }'
