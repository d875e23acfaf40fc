/// Ends attempts that wait for an endpoint which has gone.
///
/// A connection to a host that has lost its power or its link stays open, so an attempt there would
/// wait for the longest silence of its request, while memory on other endpoints is renewed for it.
/// Attempts are checked while their endpoint is missing from the directory, or while they hold
/// memory on other endpoints; policy/absent_endpoint decides by the endpoint's silence and by
/// probes.
#pragma once

#include <unordered_map>
#include <unordered_set>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

struct RelayNode;
struct PendingAttempt;

/// For the fibers of the traffic thread.
class AbsenceMonitor
{
public:
    explicit AbsenceMonitor(RelayNode &node)
        : m_node(node)
    { }

    /// Takes note that the directory does not list the processes of @p departed any more, as they
    /// were listed last.
    void noteDeparted(const std::vector<EndpointRecord> &departed);
    /// Checks the attempts in progress until none is left to check.
    void start();

private:
    /// Probes of one process of an endpoint.
    struct ProbeState {
        uint32_t m_failed = 0; ///< Consecutive failures.
        bool m_inProgress = false;
        TimePoint m_begunAt{}; ///< Of the last probe. Zero: none.
        TimePoint m_failingSince{}; ///< When the first of m_failed began.
        TimePoint m_endedAt{};
    };

    /// Whether an attempt in progress has to be checked again.
    bool checkAttempts();
    bool checkAttempt(const PendingAttempt &pending);
    ProcessListing listingOf(const EndpointRecord &endpoint) const;
    AbsenceEvidence evidenceOf(const PendingAttempt &pending, ProcessListing listing);
    void probe(const EndpointRecord &endpoint, bool engine);
    /// Whether the process of @p endpoint answers. Blocks the fiber.
    bool answersProbe(const EndpointRecord &endpoint, bool engine);

    RelayNode &m_node;
    AbsenceSettings m_settings;
    bool m_running = false;
    std::unordered_map<uint64_t, ProbeState> m_probes; ///< By process key.
    /// Endpoints that were draining when their entry was removed.
    std::unordered_set<EndpointId> m_leaving;
};

} // namespace stackquay
