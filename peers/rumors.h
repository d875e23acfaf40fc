/// Changes that are worth passing on, each for a bounded number of times. Pure.
#pragma once

#include <map>

#include "peers/member_table.h"
#include "peers/membership_message.h"

namespace stackquay {

class Rumors
{
public:
    /// A change starts anew, also if it is already under way.
    void add(const VmId &vm) { m_vms[vm] = 0; }
    void add(const NoticeKey &notice) { m_notices[notice] = 0; }

    /// Puts the least-told changes into @p message, as many as @p budget bytes allow. A change
    /// goes after @p limit tellings.
    void fill(MembershipMessage &message, const MemberTable &table, size_t budget, uint32_t limit);

    bool empty() const { return m_vms.empty() && m_notices.empty(); }

private:
    std::map<VmId, uint32_t> m_vms; ///< Times told.
    std::map<NoticeKey, uint32_t> m_notices;
};

/// Encoded size of a value in bytes.
size_t encodedSize(const VmInfo &vm);
size_t encodedSize(const EndpointNotice &notice);

} // namespace stackquay
