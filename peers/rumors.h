/// Changes to pass on to other VMs, each a bounded number of times. Does no I/O.
#pragma once

#include <map>

#include "peers/member_table.h"
#include "peers/membership_message.h"

namespace stackquay {

class Rumors
{
public:
    /// Queues a change, and resets its count if it is already queued.
    void add(const VmId &vm) { m_vms[vm] = 0; }
    void add(const NoticeKey &notice) { m_notices[notice] = 0; }

    /// Adds the least often sent changes to @p message, as many as fit into @p budget bytes. A
    /// change is dropped after it was sent @p limit times.
    void fill(MembershipMessage &message, const MemberTable &table, size_t budget, uint32_t limit);

    bool empty() const { return m_vms.empty() && m_notices.empty(); }

private:
    std::map<VmId, uint32_t> m_vms; ///< Number of times sent.
    std::map<NoticeKey, uint32_t> m_notices;
};

/// Encoded size of a value in bytes.
size_t encodedSize(const VmInfo &vm);
size_t encodedSize(const EndpointNotice &notice);

} // namespace stackquay
