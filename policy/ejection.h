/// Outlier ejection: endpoints that fail get no requests for a while.
///
/// Health checks and the directory may be wrong in either direction, and an endpoint may fail for
/// some callers only. Each VM therefore decides from the results of its own requests and of those
/// of other VMs in its data centre. A minimum share of each pool is never ejected.
///
/// In a large fleet, each VM sends only few requests to an endpoint. The VMs therefore report
/// interrupted answers and successes to each other: all of them eject an endpoint at which several
/// VMs failed without a success in between. The failures of a single VM, whose network path may be
/// at fault, eject the endpoint for this VM only.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/core.h"
#include "policy/choose_endpoint.h"
#include "policy/endpoint_directory.h"

namespace stackquay {

/// Evidence of a failure against the endpoint: the number of consecutive failures it counts as.
enum class FailureWeight : uint32_t {
    None = 0, ///< The endpoint refused for lack of capacity: it works.
    Weak = 1, ///< One answer was lost or corrupted, possibly by chance.
    Strong = 2, ///< No connection, or another process at the address.
};

/// Failures of all VMs at an endpoint since its last success at any VM, as reported to this VM.
struct PeerFailures {
    std::vector<uint64_t> m_failingVms; ///< Without duplicates.
    TimePoint m_firstAt{};
    TimePoint m_lastAt{};
};

struct PeerFailureSettings {
    size_t m_minVms = 3; ///< Different VMs whose failures eject; one or two may be mistaken.
    size_t m_minVmsOnProbation = 2; ///< For an endpoint on probation.
    /// No ejection while more than this fraction of all endpoints has recent failures: the cause is
    /// then not a single endpoint.
    double m_maxFailingShare = 0.2;
    /// Shortest time from the first to the last failure. Connections that are all reset at the same
    /// moment are no evidence against an endpoint.
    Millis m_minSpan{ 20 };
    /// Failures further apart than this have different causes: an endpoint in use succeeds in
    /// between.
    Millis m_window{ 2'000 };
};

struct EjectionTable {
    /// Two consecutive failures eject. Ejections are short, since a restarted worker has a new id
    /// and one that was slow only briefly is needed.
    EjectionSettings m_settings{ 2, Millis(1'000), Millis(8'000) };
    PeerFailureSettings m_peerSettings;
    std::unordered_map<EndpointId, EndpointHealth> m_endpoints;
    std::unordered_map<EndpointId, PeerFailures> m_peerFailures;
};

/// Records a failure of a request of this VM. Returns whether it ejects the endpoint.
bool recordFailure(EjectionTable &table, const EndpointId &endpoint, FailureWeight weight,
                   TimePoint now);
/// Records a success of a request of this VM: resets all failures and ejections of the endpoint.
void recordSuccess(EjectionTable &table, const EndpointId &endpoint);
/// Records that the endpoint interrupted an answer to @p vm, this VM or another. @p endpoints:
/// number of endpoints in total. Returns whether the failure ejects the endpoint.
bool recordPeerFailure(EjectionTable &table, const EndpointId &endpoint, size_t endpoints,
                       uint64_t vm, TimePoint now);
/// Records a success at another VM. Failures of this VM's own requests stay, as its network path
/// differs.
void recordPeerSuccess(EjectionTable &table, const EndpointId &endpoint);
bool isEjected(const EjectionTable &table, const EndpointId &endpoint, TimePoint now);

/// Smallest fraction of a pool to use. With three data centres, a data centre that is cut off still
/// reaches a third of the endpoints.
constexpr double MinHealthyShare = 0.25;

/// The endpoints of @p pool that are not ejected; all of @p pool if they are fewer than
/// MinHealthyShare.
std::vector<EndpointRecord> healthyEndpoints(const EjectionTable &table,
                                             std::vector<EndpointRecord> pool, TimePoint now);

/// The endpoints of @p pool outside the data centres @p unreachable; all of @p pool if there are
/// none. A cut makes all endpoints behind it fail at once, so a request whose connection failed is
/// not sent across the same cut again while it can go elsewhere.
std::vector<EndpointRecord> reachableEndpoints(std::vector<EndpointRecord> pool,
                                               const std::unordered_set<DataCentreId> &unreachable);

} // namespace stackquay
