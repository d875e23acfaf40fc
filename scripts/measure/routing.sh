#!/usr/bin/env bash
# Compares the routing policies over fakes: 70 nodes before 420 endpoints, several seeds.
# Arguments are passed on to stackquay-bench, such as --seeds 5 --per-shard 1.
set -euo pipefail
cd "$(dirname "$0")/../.."
cmake --preset release >/dev/null
cmake --build --preset release --target stackquay-bench >/dev/null
exec build/bin/stackquay-bench routing "$@"
