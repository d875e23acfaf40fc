#include "policy/watch_duty.h"

#include <algorithm>
#include <tuple>

namespace stackquay {

bool isStoreWatcher(const DutyCandidate &self, const std::vector<DutyCandidate> &peers)
{
    const auto rankOf = [](const DutyCandidate &vm) {
        return std::make_tuple(!vm.m_eligible, !vm.m_isWatcher, vm.m_vm.str());
    };
    return std::none_of(peers.begin(), peers.end(), [&](const DutyCandidate &peer) {
        return peer.m_dataCentre == self.m_dataCentre && rankOf(peer) < rankOf(self);
    });
}

} // namespace stackquay
