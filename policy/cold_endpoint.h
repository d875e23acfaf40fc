/// Limits the requests that a fleet sends to a cold endpoint, one that has just started.
///
/// A cold endpoint tolerates only some requests per second from all VMs together. An equal part for
/// each VM is below one request in a large fleet, so only some VMs send to it: the first ones by
/// rendezvous hashing, each up to a fixed rate. The sum stays within the limit without messages,
/// also while groups of VMs know different peers.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"

namespace stackquay {

struct ColdLimits {
    double m_overshoot = 0; ///< Factor on the declared rate; zero: cold endpoints are not limited.
    double m_slack = 0; ///< Requests in any second beyond that.
};

/// The part of the VMs that may send to one cold endpoint.
struct ColdShare {
    uint32_t m_vms = 0; ///< Number of VMs that may send.
    uint32_t m_requestsPerSecond = 0; ///< Limit of each of them.
};

/// Divides the limit of one endpoint that declares @p requestsPerSecond among @p vms VMs. The sum
/// over m_vms is at most a third of the limit, because VMs may select the senders from up to three
/// different sets of peers: at the start and end of a network partition, and while VMs start.
ColdShare coldShare(const ColdLimits &limits, double requestsPerSecond, size_t vms);

/// Whether @p self is among the first @p share.m_vms of itself and @p peers, in the order for this
/// process of the endpoint.
bool maySendToCold(const EndpointRecord &endpoint, const ColdShare &share, const VmId &self,
                   const std::vector<VmId> &peers);

/// Recent requests of this VM to one cold endpoint, oldest first.
using ColdSends = std::deque<TimePoint>;

/// Whether one more request now keeps within @p requestsPerSecond.
bool hasColdBudget(ColdSends &sends, uint32_t requestsPerSecond, TimePoint now);

} // namespace stackquay
