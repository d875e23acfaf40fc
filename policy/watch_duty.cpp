#include "policy/watch_duty.h"

#include <algorithm>
#include <tuple>

namespace stackquay {

namespace {

constexpr Millis MinElectionDelay{ 150 };
/// For each VM that precedes, if this VM has a whole core.
constexpr Millis ElectionDelayStep{ 150 };
constexpr uint32_t MillicoresPerCore = 1'000;
constexpr uint32_t MinMillicores = 10;

/// The order of preference, lowest first. In whole numbers: each VM has to compute the same order.
auto rankOf(const DutyCandidate &vm)
{
    return std::make_tuple(!vm.m_eligible, !vm.m_isWatcher, -int64_t(vm.m_millicores),
                           vm.m_vm.str());
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
    const uint32_t share = std::clamp(self.m_millicores, MinMillicores, MillicoresPerCore);
    const Duration wait = ElectionDelayStep * preceding * MillicoresPerCore / share;
    return std::min<Duration>(MinElectionDelay + wait, std::max<Duration>(most, MinElectionDelay));
}

} // namespace stackquay
