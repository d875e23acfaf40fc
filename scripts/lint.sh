#!/usr/bin/env bash
# Checks format, names and generated pages. Needs the release build, for its compile database.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly jobs=${STACKQUAY_LINT_JOBS:-$(nproc)}

echo "lint: format"
git ls-files -z '*.cpp' '*.h' | xargs -0 -n 20 -P "$jobs" clang-format --dry-run --Werror

echo "lint: scripts"
git ls-files -z 'scripts/*.sh' .ci/run | xargs -0 -n 1 bash -n

echo "lint: clang-tidy"
git ls-files -z '*.cpp' | xargs -0 -n 1 -P "$jobs" clang-tidy -p build --quiet 2>/dev/null

echo "lint: pages"
scripts/pages.sh --check

echo "lint: clean"
