/// The members of a data centre and the rules by which reports about them are merged. Pure.
#pragma once

#include <map>
#include <optional>

#include "peers/member.h"

namespace stackquay {

struct Member {
    VmInfo m_info;
    bool m_leaving = false; ///< Sticks to the incarnation, also through a false death.
    std::optional<TimePoint> m_suspectUntil; ///< Dead then, unless it refutes.
    TimePoint m_deadSince{};
};

using NoticeKey = std::pair<EndpointId, NoticeKind>;

struct HeldNotice {
    EndpointNotice m_notice;
    TimePoint m_learned{};
};

class MemberTable
{
public:
    explicit MemberTable(VmInfo self);

    /// Merges a report. True if it changed what is known, so that it is worth passing on.
    bool merge(const VmInfo &report, TimePoint now, Duration suspicion);
    bool merge(const EndpointNotice &notice, TimePoint now);
    /// Takes the sender's own word for its revision; never lower for one incarnation.
    bool setRevision(const VmId &id, uint64_t incarnation, uint64_t revision);

    bool suspect(const VmId &id, TimePoint until);
    bool declareDead(const VmId &id, TimePoint now);
    bool markLeaving(const VmId &id);
    /// Answers a report about this VM that calls it suspect or dead, or an older process of it.
    bool refute(const VmInfo &report);
    /// Drops members dead, and notices learned, longer ago than the given times.
    void forget(TimePoint now, Duration dead, Duration notices);

    const VmInfo &self() const { return m_members.at(m_selfId).m_info; }
    const Member *find(const VmId &id) const;
    const std::map<VmId, Member> &members() const { return m_members; }
    std::map<VmId, Member> &members() { return m_members; }
    const std::map<NoticeKey, HeldNotice> &notices() const { return m_notices; }
    /// Members that are not dead, with this one.
    size_t aliveCount() const;
    /// Equal on VMs that know the same living members.
    uint64_t digest() const;
    /// Grows with every change.
    uint64_t version() const { return m_version; }

private:
    Member &selfMember() { return m_members.at(m_selfId); }
    bool adopt(const VmInfo &report, TimePoint now, Duration suspicion);
    void setState(Member &member, VmState state, TimePoint now, Duration suspicion);

    VmId m_selfId;
    std::map<VmId, Member> m_members;
    std::map<NoticeKey, HeldNotice> m_notices;
    uint64_t m_version = 1;
    mutable uint64_t m_digest = 0;
    mutable uint64_t m_digestVersion = 0;
};

} // namespace stackquay
