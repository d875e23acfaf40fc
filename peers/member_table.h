/// The members of a data centre and the rules by which reports about them are merged. Does no I/O.
#pragma once

#include <map>
#include <optional>

#include "peers/member.h"

namespace stackquay {

struct Member {
    VmInfo m_info;
    bool m_leaving = false; ///< Kept for the incarnation, even if it is falsely declared dead.
    std::optional<TimePoint> m_suspectUntil; ///< Declared dead at this time unless it refutes.
    TimePoint m_deadSince{};
};

using NoticeKey = std::pair<EndpointId, NoticeKind>;

struct StoredNotice {
    EndpointNotice m_notice;
    TimePoint m_receivedAt{};
};

class MemberTable
{
public:
    explicit MemberTable(VmInfo self);

    /// Merges a report. True if it changed the table and so should be passed on. @p suspicion is
    /// the time that a suspect has to refute.
    bool merge(const VmInfo &report, TimePoint now, Duration suspicion);
    bool merge(const EndpointNotice &notice, TimePoint now);
    /// Sets the revision that a VM reported for itself. False if the incarnation is another or the
    /// revision is not higher.
    bool setRevision(const VmId &id, uint64_t incarnation, uint64_t revision);

    /// Marks a VM as suspect until @p until. True if its state changed from live to suspect.
    bool suspect(const VmId &id, TimePoint until);
    bool declareDead(const VmId &id, TimePoint now);
    bool markLeaving(const VmId &id);
    /// Handles a report about this VM: refutes that it is suspect or dead, outranks a higher
    /// incarnation, and adopts that it is leaving. True if its own entry changed.
    bool refute(const VmInfo &report);
    /// Drops members that died longer than @p dead ago, and notices received longer than @p notices
    /// ago.
    void forget(TimePoint now, Duration dead, Duration notices);

    const VmInfo &self() const { return m_members.at(m_selfId).m_info; }
    /// Null if @p id is unknown.
    const Member *find(const VmId &id) const;
    const std::map<VmId, Member> &members() const { return m_members; }
    std::map<VmId, Member> &members() { return m_members; }
    const std::map<NoticeKey, StoredNotice> &notices() const { return m_notices; }
    /// Number of members that are not dead, including this one.
    size_t aliveCount() const;
    /// Hash over the members that are not dead; equal on VMs that have the same members.
    uint64_t digest() const;
    /// Grows with every change.
    uint64_t version() const { return m_version; }

private:
    Member &selfMember() { return m_members.at(m_selfId); }
    bool adopt(const VmInfo &report, TimePoint now, Duration suspicion);
    void setState(Member &member, VmState state, TimePoint now, Duration suspicion);

    VmId m_selfId;
    std::map<VmId, Member> m_members;
    std::map<NoticeKey, StoredNotice> m_notices;
    uint64_t m_version = 1;
    mutable uint64_t m_digest = 0;
    mutable uint64_t m_digestVersion = 0;
};

} // namespace stackquay
