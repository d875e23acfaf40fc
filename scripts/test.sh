#!/usr/bin/env bash
# Installs what is missing, builds, and runs all tests. The last lines are the summary of CTest.
#
# KNOWN-RED.txt, if there is one, lists tests that fail for a known fault, one a line:
# "Suite.Case | command and seed | what was seen | issue". They are run and printed first, and do not
# fail the run.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

readonly known_red_file=KNOWN-RED.txt
readonly test_timeout=300

# The one test program that holds a test; fails unless there is just one.
program_of() {
  local name=$1 program found=()
  for program in build/bin/test_*; do
    if "$program" --gtest_filter="$name" --gtest_list_tests | grep -q '^  '; then
      found+=("$program")
    fi
  done
  if [ ${#found[@]} -ne 1 ]; then
    echo "$known_red_file: '$name' names ${#found[@]} tests, not one" >&2
    return 1
  fi
  echo "${found[0]}"
}

run_known_red() {
  local names=() lines=() line name program
  mapfile -t lines < <(grep -vE '^[[:space:]]*(#|$)' "$known_red_file" || true)
  for line in ${lines[@]+"${lines[@]}"}; do
    if ! [[ $line =~ ^([A-Za-z0-9_/]+\.[A-Za-z0-9_/]+)(\ \|\ [^|]+){3}$ ]]; then
      echo "$known_red_file: expected 'Suite.Case | command and seed | seen | issue': $line" >&2
      return 1
    fi
    name=${BASH_REMATCH[1]}
    program=$(program_of "$name")
    names+=("$name")
    echo "known red: $line"
    if timeout $test_timeout "$program" --gtest_filter="$name"; then
      echo "known red: $name passes in this run; it stays listed until its fault is fixed"
    else
      echo "known red: $name fails, as listed"
    fi
  done
  if [ ${#names[@]} -gt 0 ]; then
    # GoogleTest reads the variable: all but these.
    export GTEST_FILTER="-$(IFS=:; echo "${names[*]}")"
  fi
}

scripts/install_deps.sh
cmake --preset release
cmake --build --preset release
if [ -f "$known_red_file" ]; then
  run_known_red
fi
ctest --test-dir build --output-on-failure -j "${STACKQUAY_TEST_JOBS:-4}"
