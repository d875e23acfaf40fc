# A deployment of the users' shape, for measurements: three data centres, 20 engines, 8 daemons and
# 10 customers of which a few are large. Source it after lib.sh.

FLEET_ENGINES=(7 7 6)
FLEET_DAEMONS=(3 3 2)
FLEET_CUSTOMERS=10
# The keys with their shares of the arrivals.
FLEET_KEYS=customer-1-key=30,customer-2-key=25,customer-3-key=15,customer-4-key=5,customer-5-key=5
FLEET_KEYS+=,customer-6-key=4,customer-7-key=4,customer-8-key=4,customer-9-key=4,customer-10-key=4
# Times of an engine. Its memory holds the longest prompt, so that no prompt needs several engines.
FLEET_PREFILL_US=${FLEET_PREFILL_US:-5}
FLEET_ENGINE_FLAGS=(--step-base-us 2000 --decode-us 25 --prefill-us-per-token "$FLEET_PREFILL_US"
  --memory-tokens 1200000 --wait-for-memory --report-lag-ms 500 --event-lag-ms 500
  --event-gap-every 50)

# start_fleet POLICY [daemon flag...]
start_fleet() {
  local policy=$1 centre i
  shift
  deployment_begin
  start_platform
  for centre in 1 2 3; do
    for i in $(seq "${FLEET_ENGINES[centre - 1]}"); do
      start_engine "engine-$centre-$i" "centre-$centre" "${FLEET_ENGINE_FLAGS[@]}"
    done
  done
  for i in $(seq $FLEET_CUSTOMERS); do
    declare_customer "customer-$i" '"share":1,"priority":10'
  done
  declare_intent
  for centre in 1 2 3; do
    for i in $(seq "${FLEET_DAEMONS[centre - 1]}"); do
      start_daemon "daemon-$centre-$i" "centre-$centre" --routing-policy "$policy" "$@"
    done
  done
  wait_ready
}

# The daemons' addresses, as stackquay-load takes them.
fleet_targets() {
  join_with_commas "${DAEMONS[@]}"
}

# Requests a second that keep all engines busy with prefill alone, for prompts of MEAN tokens.
fleet_capacity() {
  local engines=$((FLEET_ENGINES[0] + FLEET_ENGINES[1] + FLEET_ENGINES[2]))
  arithmetic "$engines * 1000000 / $FLEET_PREFILL_US / $1"
}
