#!/usr/bin/env bash
# Prepares what the scripts of the second review start beside target/bin/stackquayd. Their stand-ins
# are in Python, so there is nothing to compile: this checks that Python reads them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
export PYTHONDONTWRITEBYTECODE=1
for file in standin2.py worker2.py [46]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "the stand-ins of the second review are ready"
