#!/usr/bin/env bash
# Checks format, names and generated pages. Needs the release build, for its compile database.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly jobs=${STACKQUAY_LINT_JOBS:-$(nproc)}

echo "lint: format"
git ls-files -z '*.cpp' '*.h' | xargs -0 -n 20 -P "$jobs" clang-format --dry-run --Werror

echo "lint: scripts"
git ls-files -z 'scripts/*.sh' .ci/run | xargs -0 -n 1 bash -n

echo "lint: names of the platform stay in platform/"
words=$(grep -vE '^(#|$)' platform/wire_names.txt | paste -sd'|')
if git grep -nwE "($words)" -- '*.cpp' '*.h' ':!platform' ':!tests/platform' ':!tests/soak'; then
  echo "lint: the lines above name what only platform/ may know" >&2
  exit 1
fi
lines_of() { git ls-files -- "$@" | grep -E '\.(cpp|h)$' | xargs cat | wc -l; }
adapter=$(lines_of 'platform/*.cpp' 'platform/*.h' ':!platform/standin')
product=$(lines_of . ':!tests' ':!platform/standin')
echo "lint: platform/ is $adapter of $product lines, $((1000 * adapter / product)) in 1000"

echo "lint: clang-tidy"
git ls-files -z '*.cpp' | xargs -0 -n 1 -P "$jobs" clang-tidy -p build --quiet 2>/dev/null

echo "lint: pages"
scripts/pages.sh --check

echo "lint: clean"
