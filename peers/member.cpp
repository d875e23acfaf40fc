#include "peers/member.h"

#include <algorithm>

namespace stackquay {

std::string_view vmStateName(VmState state)
{
    switch (state) {
    case VmState::Live:
        return "live";
    case VmState::Suspect:
        return "suspect";
    case VmState::Leaving:
        return "leaving";
    case VmState::Dead:
        return "dead";
    }
    return "unknown";
}

const VmInfo *MemberList::find(const VmId &id) const
{
    const auto vm = std::lower_bound(
        m_vms.begin(), m_vms.end(), id,
        [](const VmInfo &candidate, const VmId &wanted) { return candidate.m_id < wanted; });
    return vm != m_vms.end() && vm->m_id == id ? &*vm : nullptr;
}

std::vector<VmInfo> MemberList::roleHolders() const
{
    std::vector<VmInfo> holders;
    std::copy_if(m_vms.begin(), m_vms.end(), std::back_inserter(holders), mayHoldRole);
    return holders;
}

} // namespace stackquay
