# Figures from the reports of stackquay-load. Source it after lib.sh.

LOAD=$BIN/stackquay-load

# value FILE NAME: a number of a --flat report.
value() {
  sed -n "s|^ \"$2\": \(.*[0-9]\),*\$|\1|p" "$1"
}

# The percentile, in milliseconds, of the numbers (microseconds) on standard input, at a share.
percentile_ms() {
  sort -n | awk -v share="$1" '{ v[NR] = $1 }
    END { i = int(NR * share); if (i < NR * share) i++; if (i < 1) i = 1; printf "%.3f\n", v[i] / 1000 }'
}

# first_tokens [-c CLASS] FILE...: times to the first token of complete requests, from CSV files.
first_tokens() {
  local class=
  if [ "$1" = -c ]; then
    class=$2
    shift 2
  fi
  awk -F, -v class="$class" \
    'FNR > 1 && $9 == "complete" && (class == "" || $2 == class) { print $11 }' "$@"
}

# arithmetic EXPRESSION: its value with three digits.
arithmetic() {
  awk "BEGIN { printf \"%.3f\\n\", $1 }"
}
