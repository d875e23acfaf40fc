#!/usr/bin/env bash
# Every fault in every state of a request, with real daemons; needs a build.
set -euo pipefail
cd "$(dirname "$0")/../.."
report=$(mktemp)
trap 'rm -f "$report"' EXIT
timeout 280 build/bin/test_integration --gtest_filter='*FaultMatrix*' \
  --gtest_output="json:$report" | grep -E '^\[  (FAILED|PASSED)' || true
cases=$(grep -c '"status": "RUN"' "$report" || true)
failed=$(grep -c '"failures"' "$report" || true)
echo "faults: cases=$cases held=$((cases - failed))"
[ "$cases" -gt 0 ] && [ "$failed" -eq 0 ]
