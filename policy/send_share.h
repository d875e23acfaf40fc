/// Divides a limit on the requests to one endpoint among the VMs that may send to it.
///
/// The limit applies to the sum over all VMs. An equal part for each VM is below one request in a
/// large fleet, so only some VMs send: the first ones by rendezvous hashing, each up to a fixed
/// number in any window. The sum stays within the limit without messages, also while groups of VMs
/// know different peers.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"

namespace stackquay {

/// The part of the VMs that may send to one endpoint.
struct SendShare {
    uint32_t m_vms = 0; ///< Number of VMs that may send.
    uint32_t m_requests = 0; ///< Limit of each of them in any m_window.
    Millis m_window{ 0 };
};

/// The limit of a cold endpoint, one that has just started.
struct ColdLimits {
    double m_overshoot = 0; ///< Factor on the declared rate; zero: cold endpoints are not limited.
    double m_slack = 0; ///< Requests in any second beyond that.
};

/// Divides the limit of one endpoint that declares @p requestsPerSecond among @p vms VMs. The sum
/// over m_vms is at most a third of the limit, because VMs may select the senders from up to three
/// different sets of peers: at the start and end of a network partition, and while VMs start.
SendShare coldShare(const ColdLimits &limits, double requestsPerSecond, size_t vms);

/// The VMs among which a limit is divided.
struct VmGroup {
    size_t m_live = 1; ///< VMs that know each other.
    size_t m_known = 1; ///< The highest number of VMs known.
};

/// Requests of all VMs are counted in windows of this length: that in which an endpoint counts, and
/// the differences of their travel times.
constexpr Millis NamedLimitWindow{ 4'250 };

/// Divides the limit that an endpoint names in its answers. All VMs together send as many requests
/// as it takes; a group that is cut off from the others sends at most its proportional part of what
/// the endpoint tolerates, so that the sum over all groups stays within that.
SendShare namedShare(double requestsPerSecond, const VmGroup &group);

/// Whether @p self is among the first @p share.m_vms of itself and @p peers, in the order for this
/// process of the endpoint.
bool isSender(const EndpointRecord &endpoint, const SendShare &share, const VmId &self,
              const std::vector<VmId> &peers);

/// Recent requests of this VM to one endpoint, oldest first.
using RecentSends = std::deque<TimePoint>;

/// Whether one more request now keeps within @p share.
bool hasSendBudget(RecentSends &sends, const SendShare &share, TimePoint now);

} // namespace stackquay
