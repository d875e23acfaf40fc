#include "relay/relay_metrics.h"

namespace stackquay {

std::string_view relayOutcomeName(RelayOutcome outcome)
{
    static constexpr std::array<std::string_view, static_cast<size_t>(RelayOutcome::Count)>
        Names = { "complete", "refused", "failed", "denied", "cut", "abandoned" };
    return Names.at(static_cast<size_t>(outcome));
}

RelayMetrics::RelayMetrics(MetricsRegistry &registry)
    : m_attempts(
        registry.counter("stackquay_relay_attempts_total", "Attempts that reached an endpoint."))
    , m_repeats(registry.counter("stackquay_relay_repeats_total",
                                 "Retries that the retry budget allowed."))
    , m_repeatsRefused(registry.counter("stackquay_relay_repeats_refused_total",
                                        "Retries that the retry budget refused."))
    , m_ejections(registry.counter("stackquay_relay_ejections_total",
                                   "Ejections of endpoints after failures."))
    , m_silences(registry.counter("stackquay_relay_silent_attempts_total",
                                  "Attempts whose endpoint sent nothing for too long."))
    , m_silencesEnded(registry.counter("stackquay_relay_silent_attempts_continued_total",
                                       "Silent attempts whose endpoint went on."))
    , m_reservations(registry.counter("stackquay_relay_reservations_total",
                                      "Reservations of memory that engines granted."))
    , m_reservationsRefused(registry.counter("stackquay_relay_reservations_refused_total",
                                             "Reservations that engines did not grant in time."))
    , m_processExits(
          registry.counter("stackquay_relay_attempts_ended_with_process_total",
                           "Attempts that broke off because the endpoint's process ended."))
    , m_quarantined(registry.counter(
          "stackquay_relay_condemned_total",
          "Requests quarantined because endpoint processes exited while they ran them."))
    , m_quarantinedParts(registry.counter("stackquay_relay_quarantined_parts_total",
                                          "Times that more requests were refused because engines "
                                          "crash on a part of their prompts."))
    , m_blocked(
          registry.counter("stackquay_relay_barred_total",
                           "Requests not sent because endpoint processes had exited under them."))
    , m_unreadableEntries(
          registry.counter("stackquay_relay_unreadable_entries_total",
                           "Changes of endpoints' entries that could not be decoded."))
    , m_abandoned(registry.counter("stackquay_relay_attempts_abandoned_total",
                                   "Attempts abandoned because their endpoint had gone."))
    , m_absenceProbes(registry.counter("stackquay_relay_absence_probes_total",
                                       "Probes of endpoints that may have gone."))
    , m_refusedOnArrival(
          registry.counter("stackquay_relay_refused_on_arrival_total",
                           "Requests refused on arrival because their turn would come too late."))
    , m_refusedLater(
          registry.counter("stackquay_relay_refused_later_total",
                           "Requests refused while they waited, because their turn would come too "
                           "late."))
    , m_placesKept(registry.counter("stackquay_relay_places_kept_total",
                                    "Places kept for callers that were told when to come back."))
    , m_returns(registry.counter("stackquay_relay_returns_total",
                                 "Requests that came back to the place kept for them."))
    , m_earlyReturns(
          registry.counter("stackquay_relay_early_returns_total",
                           "Requests that came back before they were told to and were refused."))
    , m_lag(registry.gauge("stackquay_relay_lag_seconds",
                           "Longest delay of a timer of the traffic thread in the last second."))
    , m_connections(registry.gauge("stackquay_relay_connections", "Open connections of clients."))
    , m_partlyRead(registry.gauge("stackquay_relay_partly_read_requests",
                                  "Requests of clients of which only a part has been read."))
    , m_trafficReceived(registry.counter("stackquay_relay_received_bytes_total",
                                         "Payload received by the traffic thread."))
    , m_trafficSent(registry.counter("stackquay_relay_sent_bytes_total",
                                     "Payload sent by the traffic thread, datagrams included."))
    , m_datagrams(registry.counter("stackquay_relay_datagrams_total",
                                   "Datagrams sent to other VMs by the traffic thread."))
    , m_datagramBytes(
          registry.counter("stackquay_relay_datagram_bytes_total", "Payload of these datagrams."))
    , m_datagramsLost(registry.counter("stackquay_relay_datagrams_lost_total",
                                       "Datagrams that the socket did not take."))
    , m_registry(registry)
{
    for (size_t kind = 0; kind < KindCount; ++kind) {
        for (size_t outcome = 0; outcome < OutcomeCount; ++outcome) {
            m_outcomes.at(kind).at(outcome) = &registry.counter(
                "stackquay_relay_requests_total", "Relayed requests by kind of route and outcome.",
                { { "kind", std::string(routeKindName(static_cast<RouteKind>(kind))) },
                  { "outcome",
                    std::string(relayOutcomeName(static_cast<RelayOutcome>(outcome))) } });
        }
    }
}

void RelayMetrics::countOutcome(RouteKind kind, RelayOutcome outcome)
{
    m_outcomes.at(static_cast<size_t>(kind)).at(static_cast<size_t>(outcome))->add();
}

void RelayMetrics::recordFirstEventTime(const Route &route, Duration time)
{
    m_registry
        .histogram("stackquay_relay_first_seconds",
                   "Time from arrival to the first event or whole answer.", SecondsAxis,
                   { { "route", route.m_name } })
        .record(time);
}

} // namespace stackquay
