/// Metrics of relayed requests.
#pragma once

#include <array>

#include "core/core.h"
#include "policy/policy.h"

namespace stackquay {

/// How a relayed request ended, as seen by its client.
enum class RelayOutcome {
    Complete, ///< The endpoint's whole response, whatever its status.
    Refused, ///< Not run, and never will be.
    Failed, ///< May have run.
    Denied, ///< No such route, or no valid key.
    Cut, ///< The stream broke off after its first event.
    Abandoned, ///< The client disconnected.
    Count, ///< Number of outcomes; not an outcome.
};

std::string_view relayOutcomeName(RelayOutcome outcome);

class RelayMetrics
{
public:
    explicit RelayMetrics(MetricsRegistry &registry);

    void countOutcome(RouteKind kind, RelayOutcome outcome);
    void recordFirstEventTime(const Route &route, Duration time);

    Counter &m_attempts;
    Counter &m_repeats;
    Counter &m_repeatsRefused;
    Counter &m_ejections;
    Counter &m_silences;
    Counter &m_silencesEnded;
    Counter &m_reservations;
    Counter &m_reservationsRefused;
    Counter &m_processExits;
    Counter &m_quarantined;
    Counter &m_quarantinedParts;
    Counter &m_blocked;
    Counter &m_unreadableEntries;
    Counter &m_abandoned;
    Counter &m_absenceProbes;
    // Of requests whose turn is forecast, see TurnMonitor.
    Counter &m_refusedOnArrival;
    Counter &m_refusedLater;
    Counter &m_placesKept;
    Counter &m_returns;
    Counter &m_earlyReturns;
    // Load of this VM, see VmLoadMonitor. Counters are of its traffic thread.
    Gauge &m_lag;
    Gauge &m_connections;
    Gauge &m_partlyRead;
    Counter &m_trafficReceived;
    Counter &m_trafficSent;
    Counter &m_datagrams;
    Counter &m_datagramBytes;
    Counter &m_datagramsLost;

private:
    static constexpr size_t KindCount = 3;
    static constexpr size_t OutcomeCount = static_cast<size_t>(RelayOutcome::Count);

    MetricsRegistry &m_registry;
    std::array<std::array<Counter *, OutcomeCount>, KindCount> m_outcomes{};
};

} // namespace stackquay
