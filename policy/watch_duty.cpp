#include "policy/watch_duty.h"

#include <algorithm>
#include <tuple>

namespace stackquay {

namespace {

constexpr Millis MinElectionDelay{ 150 };
/// For each VM that precedes, if this VM has a whole core.
constexpr Millis ElectionDelayStep{ 150 };
/// For each VM that precedes, after the silence of the watcher.
constexpr Millis TakeoverStep{ 50 };
constexpr Millis MaxTakeoverDelay{ 400 };
constexpr uint32_t MillicoresPerCore = 1'000;
constexpr uint32_t MinMillicores = 10;

/// The order of preference, lowest first. In whole numbers: each VM has to compute the same order.
auto rankOf(const DutyCandidate &vm)
{
    return std::make_tuple(!vm.m_eligible, !vm.m_isWatcher, -int64_t(vm.m_millicores),
                           vm.m_vm.str());
}

/// The VMs of the data centre of @p self that precede it.
int64_t countPreceding(const DutyCandidate &self, const std::vector<DutyCandidate> &peers)
{
    return std::count_if(peers.begin(), peers.end(), [&](const DutyCandidate &peer) {
        return peer.m_dataCentre == self.m_dataCentre && rankOf(peer) < rankOf(self);
    });
}

} // namespace

bool isStoreWatcher(const DutyCandidate &self, const std::vector<DutyCandidate> &peers)
{
    return countPreceding(self, peers) == 0;
}

bool takesOverWatch(const DutyCandidate &self, const std::vector<DutyCandidate> &peers,
                    Duration silence)
{
    if (!self.m_eligible || silence <= WatcherSilenceTimeout)
        return false;
    const Millis wait = TakeoverStep * countPreceding(self, peers);
    return silence > WatcherSilenceTimeout + std::min(wait, MaxTakeoverDelay);
}

unsigned readTurn(const DutyCandidate &self, const std::vector<DutyCandidate> &peers)
{
    return static_cast<unsigned>(
        std::count_if(peers.begin(), peers.end(), [&](const DutyCandidate &peer) {
            return peer.m_dataCentre == self.m_dataCentre && peer.m_eligible && !peer.m_isWatcher
                   && rankOf(peer) < rankOf(self);
        }));
}

Duration electionDelay(const DutyCandidate &self, const std::vector<DutyCandidate> &peers,
                       Duration most)
{
    const auto preceding = countPreceding(self, peers);
    const uint32_t share = std::clamp(self.m_millicores, MinMillicores, MillicoresPerCore);
    const Duration wait = ElectionDelayStep * preceding * MillicoresPerCore / share;
    return std::min<Duration>(MinElectionDelay + wait, std::max<Duration>(most, MinElectionDelay));
}

} // namespace stackquay
