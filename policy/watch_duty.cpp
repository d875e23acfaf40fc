#include "policy/watch_duty.h"

#include <algorithm>
#include <tuple>

namespace stackquay {

namespace {

constexpr Millis MinElectionDelay{ 150 };
/// For each VM that precedes, if this VM has a whole core.
constexpr Millis ElectionDelayStep{ 150 };
constexpr double MinProcessorShare = 0.01;

/// The order of preference, lowest first.
auto rankOf(const DutyCandidate &vm)
{
    return std::make_tuple(!vm.m_eligible, !vm.m_isWatcher, -vm.m_processorShare, vm.m_vm.str());
}

} // namespace

bool isStoreWatcher(const DutyCandidate &self, const std::vector<DutyCandidate> &peers)
{
    return std::none_of(peers.begin(), peers.end(), [&](const DutyCandidate &peer) {
        return peer.m_dataCentre == self.m_dataCentre && rankOf(peer) < rankOf(self);
    });
}

Duration electionDelay(const DutyCandidate &self, const std::vector<DutyCandidate> &peers,
                       Duration most)
{
    const auto preceding = std::count_if(peers.begin(), peers.end(), [&](const auto &peer) {
        return peer.m_dataCentre == self.m_dataCentre && rankOf(peer) < rankOf(self);
    });
    const double share = std::clamp(self.m_processorShare, MinProcessorShare, 1.0);
    const auto wait = std::chrono::duration_cast<Duration>(
        ElectionDelayStep * static_cast<double>(preceding) / share);
    return std::min<Duration>(MinElectionDelay + wait, std::max<Duration>(most, MinElectionDelay));
}

} // namespace stackquay
