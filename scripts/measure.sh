#!/usr/bin/env bash
# scripts/measure.sh NAME [argument...]: runs one measurement. Without a name it lists them.
set -euo pipefail
directory=$(dirname "$0")/measure
name=${1:-}
if [ -z "$name" ]; then
  for script in "$directory"/*.sh; do
    printf '%-10s %s\n' "$(basename "$script" .sh)" "$(sed -n '2s/^# //p' "$script")"
  done
  exit 0
fi
shift
[ -x "$directory/$name.sh" ] || { echo "measure.sh: no measurement is called $name" >&2; exit 2; }
exec "$directory/$name.sh" "$@"
