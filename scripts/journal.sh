#!/usr/bin/env bash
# What the journal of the users' bench holds: for each site the last finished hunt and score, one
# line each, and whether the sources are still those that were played.
set -euo pipefail

readonly name=$(basename "$0")
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
journal=$root/journal
readonly nothing=$(sha256sum </dev/null | cut -d' ' -f1)

# Paths whose change makes an entry one of other sources; tests are not part of what is played.
is_source() {
  case $1 in
    tests/*) return 1 ;;
    *.cpp | *.h | CMakeLists.txt | */CMakeLists.txt | cmake/* | deploy/* | charts/*) ;;
    *) return 1 ;;
  esac
}

usage() {
  cat <<TEXT
usage: $name [--journal DIR] [SITE...]

Lists the last finished hunt and the last finished score of each site (without SITE: of all sites
in the journal): entry, days, days given up by the bench, days with a rule broken or a fault, score,
commit ("changed": played with files that were not committed), and the sources, but for tests:
"as at HEAD", "changed since", or "unknown" (edited during the run, or the commit is not in the
repository of the journal).
An entry that the bench did not end counts as not finished; scores with --quick or --small are
left out. Pages quote these lines.

status: 0 listed; 1 a named site has no finished hunt, or there is no journal; 2 bad usage
TEXT
}

# One line an entry of a hunt or score, by time, with tabs: entry, verb, sites, ended, commit, state of
# its files, days, given up, broken, rules, faults, score, gate. The bench writes each key at the start of a
# line and each day on a line; it writes an entry when a run begins, and again when it ends.
entries() {
  awk '
    function text(line, key) {
      return match(line, "\"" key "\":\"[^\"]*\"") ? \
        substr(line, RSTART + length(key) + 4, RLENGTH - length(key) - 5) : ""
    }
    function number(line, key) {
      return match(line, "\"" key "\":[0-9.]+") ? \
        substr(line, RSTART + length(key) + 3, RLENGTH - length(key) - 3) : "-"
    }
    function sites_of(line,   found, part) {
      while (match(line, /[^"\/]+\.toml"/)) {
        part = substr(line, RSTART, RLENGTH - 6)
        found = found (found == "" ? "" : ",") part
        line = substr(line, RSTART + RLENGTH)
      }
      return found
    }
    function known(value) { return value == "" ? "-" : value }
    function finish() {
      if ((verb != "hunt" && verb != "score") || small) return
      printf("%s\t%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%s\t%d\t%s\t%s\n", entry, verb,
        known(sites), (ended && days > 0), known(commit), own, days, given_up, broken, known(rules),
        faults, score, gate)
    }
    FNR == 1 {
      if (NR > 1) finish()
      entry = FILENAME
      sub(/.*\//, "", entry)
      sub(/\.json$/, "", entry)
      verb = sites = commit = rules = ""
      score = gate = "-"
      own = "clean"
      ended = days = given_up = broken = faults = small = in_days = 0
    }
    /^"cmd":/ {
      verb = text($0, "cmd")
      line = $0
      sub(/"--why","([^"\\]|\\.)*"/, "", line)
      small = line ~ /"--(quick|small)"/
      sites = sites_of(line)
    }
    /^"head":/ { commit = text($0, "head"); if ($0 ~ /"dirty":true/) own = "dirty" }
    /"edited_meanwhile":true/ && /^"policy":/ { own = "edited" }
    /^"site":"/ { sites = text($0, "site") }
    /^"ok":true/ { ended = 1 }
    /^"score":/ { score = number($0, "score"); gate = number($0, "gate") }
    /^"days_left_out":/ { in_days = 0; given_up = number($0, "days_left_out") }
    /^"days":\[/ { in_days = 1 }
    in_days && /"rules":[{]/ {
      days++
      if ($0 !~ /"fault":null/) faults++
      if ($0 !~ /"rules":[{][}]/) {
        broken++
        line = $0
        sub(/.*"rules":[{]/, "", line)
        sub(/[}].*/, "", line)
        while (match(line, /"[A-Z]+"/)) {
          rule = substr(line, RSTART + 1, RLENGTH - 2)
          if (("," rules ",") !~ ("," rule ",")) rules = rules (rules == "" ? "" : ",") rule
          line = substr(line, RSTART + RLENGTH)
        }
      }
    }
    END { if (NR) finish() }' "$@"
}

# sum_at REVISION PATH: the SHA-256 of a file; that of nothing if it is not there.
sum_at() {
  { git -C "$repository" show "$1:$2" 2>/dev/null || true; } | sha256sum | cut -d' ' -f1
}

# changed_since BASE [ENTRY]: whether the sources at HEAD differ from those at a commit, changed as
# an entry says: it lists the files that differ from its base with their sums, and those gone.
changed_since() {
  local base=$1 entry=${2:-/dev/null} path sum
  local -A played=()
  while read -r sum path; do
    ! is_source "$path" || played[$path]=$sum
  done < <(sed -n \
    '/^"tree":/,$ s/.*{"path":"\([^"]*\)","sha256":"\([0-9a-f]*\)"}.*/\2 \1/p' "$entry")
  while read -r path; do
    ! is_source "$path" || played[$path]=$nothing
  done < <(sed -n '/^"tree":/,$ s/.*"gone":\[\([^]]*\)\].*/\1/p' "$entry" | tr -d '"' | tr , '\n')
  while read -r path; do
    if is_source "$path" && [ -z "${played[$path]:-}" ]; then
      played[$path]=$(sum_at "$base" "$path")
    fi
  done < <(git -C "$repository" diff --name-only --no-renames "$base" HEAD)
  for path in "${!played[@]}"; do
    [ "${played[$path]}" = "$(sum_at HEAD "$path")" ] || return 0
  done
  return 1
}

# What became of the sources of an entry: sources_since ENTRY COMMIT clean|dirty|edited.
sources_since() {
  local file=$journal/$1.json base=$2
  if [ "$3" = clean ]; then
    file=
  else
    base=$(sed -n 's/^"tree":{"base":"\([0-9a-f]*\)".*/\1/p' "$file")
  fi
  if [ "$3" = edited ] || ! git -C "$repository" cat-file -e "$base^{commit}" 2>/dev/null; then
    echo unknown
  elif changed_since "$base" "$file"; then
    echo 'changed since'
  else
    echo 'as at HEAD'
  fi
}

# The line of a site and verb; fails if none has finished.
report() {
  local site=$1 verb=$2 line='' fields later=0 last='' last_commit='' text entry sites ended
  local commit own days given_up broken rules faults score gate
  while IFS= read -r fields; do
    IFS=$'\t' read -r entry _ sites ended commit _ <<<"$fields"
    [[ ,$sites, == *",$site,"* ]] || continue
    if [ "$ended" -eq 1 ]; then
      line=$fields
      later=0
    else
      later=$((later + 1))
      last=$entry
      last_commit=${commit:0:7}
    fi
  done < <(awk -F'\t' -v verb="$verb" '$2 == verb' <<<"$all")
  if [ -z "$line" ]; then
    text="$site $verb: none finished"
    [ $later -eq 0 ] || text+="; $later not, the last $last on $last_commit"
    echo "$text"
    return 1
  fi
  IFS=$'\t' read -r entry _ _ _ commit own days given_up broken rules faults score gate <<<"$line"
  text="$site $verb $entry: $days days"
  [ "$given_up" -eq 0 ] || text+=" ($given_up given up)"
  text+=", $broken with a rule broken"
  [ "$broken" -eq 0 ] || text+=" ($rules)"
  [ "$faults" -eq 0 ] || text+=", $faults with a fault"
  if [ "$verb" = score ]; then
    text+=", $score, gate $([ "${gate%%.*}" = 1 ] && echo passed || echo failed)"
  fi
  text+=", on ${commit:0:7}"
  [ "$own" = clean ] || text+=' changed'
  text+=", sources $(sources_since "$entry" "$commit" "$own")"
  [ $later -eq 0 ] || text+="; $later later not finished, the last $last on $last_commit"
  echo "$text"
}

named=()
while [ $# -gt 0 ]; do
  case $1 in
    -h | --help)
      usage
      exit 0
      ;;
    --journal)
      if [ $# -lt 2 ]; then
        usage >&2
        exit 2
      fi
      journal=$2
      shift
      ;;
    -*)
      usage >&2
      exit 2
      ;;
    *) named+=("$1") ;;
  esac
  shift
done

shopt -s nullglob
files=("$journal"/*.json)
if [ ${#files[@]} -eq 0 ]; then
  echo "$name: no journal in $journal" >&2
  exit 1
fi
repository=$(git -C "$journal" rev-parse --show-toplevel)
all=$(entries "${files[@]}")

status=0
if [ ${#named[@]} -gt 0 ]; then
  for site in "${named[@]}"; do
    report "$site" hunt || status=1
    report "$site" score || true
  done
else
  while IFS= read -r site; do
    report "$site" hunt || true
    report "$site" score || true
  done < <(cut -f3 <<<"$all" | tr , '\n' | grep -vx -- - | sort -u)
fi
exit $status
