# Helpers for scripts that read decision lines. Source it from a script with `set -euo pipefail`.

# Ends the script unless there are logs and all can be read.
require_logs() {
  local log script
  script=$(basename "$0")
  [ $# -gt 0 ] || { echo "usage: $script LOG..." >&2; exit 2; }
  for log in "$@"; do
    [ -r "$log" ] || { echo "$script: cannot read $log" >&2; exit 2; }
  done
}

# Functions for awk programs: fields of the present line, and whether an answer that is whole came
# with its first event and pauses as declared.
readonly DECISION_FIELDS='
  function text(key) {
    return match($0, "\"" key "\":\"[^\"]*\"") ? \
      substr($0, RSTART + length(key) + 4, RLENGTH - length(key) - 5) : ""
  }
  function number(key) {
    return match($0, "\"" key "\":-?[0-9.]+") ? \
      substr($0, RSTART + length(key) + 3, RLENGTH - length(key) - 3) + 0 : 0
  }
  function in_target(first, gap, aim, gap_aim) {
    return first <= aim && (gap_aim == 0 || gap <= gap_aim)
  }
'
