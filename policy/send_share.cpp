#include "policy/send_share.h"

#include <algorithm>
#include <cmath>
#include <string>

#include <fmt/format.h>

#include "core/hash.h"

namespace stackquay {

namespace {

constexpr double DifferentViews = 3;
/// Longer than the second in which an endpoint counts, because requests travel for different times.
constexpr Millis ColdWindow{ 1'250 };

/// What an endpoint tolerates beyond the rate that it names, in any window of four seconds.
constexpr double NamedOvershoot = 1.5;
constexpr double NamedSlack = 5;
constexpr Seconds NamedCountWindow{ 4 };

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration durationOf(double seconds)
{
    constexpr double Longest = 3'600;
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::min(seconds, Longest)));
}

} // namespace

SendShare coldShare(const ColdLimits &limits, double requestsPerSecond, size_t vms)
{
    const double limit = requestsPerSecond * limits.m_overshoot + limits.m_slack;
    const auto budget = static_cast<size_t>(std::floor(std::max(limit / DifferentViews, 0.0)));
    if (budget == 0 || vms == 0)
        return {};
    const size_t each = std::max<size_t>(budget / vms, 1);
    return { static_cast<uint32_t>(std::min(vms, budget / each)), static_cast<uint32_t>(each),
             ColdWindow };
}

SendShare namedShare(double requestsPerSecond, const VmGroup &group)
{
    if (requestsPerSecond <= 0 || group.m_live == 0)
        return {};
    const size_t known = std::max(group.m_known, group.m_live);
    const double part = static_cast<double>(group.m_live) / static_cast<double>(known);
    const double tolerated =
        NamedOvershoot * requestsPerSecond * secondsOf(NamedCountWindow) + NamedSlack;
    const double wanted = std::max(requestsPerSecond * secondsOf(NamedLimitWindow), 1.0);
    const auto budget = static_cast<size_t>(std::min(wanted, tolerated * part));
    if (budget == 0)
        return {};
    const size_t each = std::max<size_t>(budget / group.m_live, 1);
    Duration window = NamedLimitWindow / each;
    if (budget == 1)
        window = std::max(window, durationOf(1 / requestsPerSecond));
    return { static_cast<uint32_t>(std::min(group.m_live, budget / each)), 1,
             std::chrono::ceil<Millis>(window) };
}

bool isSender(const EndpointRecord &endpoint, const SendShare &share, const VmId &self,
              const std::vector<VmId> &peers)
{
    const std::string process = fmt::format("{}@{}", endpoint.m_id.str(), endpoint.m_startedMs);
    const uint64_t own = rendezvousScore(process, self.str());
    const auto before = std::count_if(peers.begin(), peers.end(), [&](const VmId &peer) {
        return rendezvousScore(process, peer.str()) > own;
    });
    return static_cast<size_t>(before) < share.m_vms;
}

bool hasSendBudget(RecentSends &sends, const SendShare &share, TimePoint now)
{
    while (!sends.empty() && sends.front() <= now - share.m_window)
        sends.pop_front();
    return sends.size() < share.m_requests;
}

} // namespace stackquay
