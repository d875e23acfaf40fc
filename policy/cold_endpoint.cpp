#include "policy/cold_endpoint.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <fmt/format.h>

#include "core/hash.h"

namespace stackquay {

namespace {

constexpr double DifferentViews = 3;
/// Longer than the second in which an endpoint counts, because requests travel for different times.
constexpr Millis Window{ 1'250 };

} // namespace

ColdShare coldShare(const ColdLimits &limits, double requestsPerSecond, size_t vms)
{
    const double limit = requestsPerSecond * limits.m_overshoot + limits.m_slack;
    const auto budget = static_cast<size_t>(std::floor(std::max(limit / DifferentViews, 0.0)));
    if (budget == 0 || vms == 0)
        return {};
    const size_t each = std::max<size_t>(budget / vms, 1);
    return { static_cast<uint32_t>(std::min(vms, budget / each)), static_cast<uint32_t>(each) };
}

bool maySendToCold(const EndpointRecord &endpoint, const ColdShare &share, const VmId &self,
                   const std::vector<VmId> &peers)
{
    const std::string process = fmt::format("{}@{}", endpoint.m_id.str(), endpoint.m_startedMs);
    const uint64_t own = rendezvousScore(process, self.str());
    const auto before = std::count_if(peers.begin(), peers.end(), [&](const VmId &peer) {
        return rendezvousScore(process, peer.str()) > own;
    });
    return static_cast<size_t>(before) < share.m_vms;
}

bool hasColdBudget(ColdSends &sends, uint32_t requestsPerSecond, TimePoint now)
{
    while (!sends.empty() && sends.front() <= now - Window)
        sends.pop_front();
    return sends.size() < requestsPerSecond;
}

} // namespace stackquay
