#include "peers/member_table.h"

#include <algorithm>

namespace stackquay {

namespace {

bool isNewerNotice(const EndpointNotice &notice, const EndpointNotice &held)
{
    if (notice.m_version != held.m_version)
        return notice.m_version > held.m_version;
    return notice.m_active && !held.m_active;
}

uint64_t hashOf(const Member &member)
{
    const uint64_t seed = member.m_info.m_incarnation * 2 + (member.m_leaving ? 1 : 0);
    return stableHash(member.m_info.m_id.str(), seed);
}

} // namespace

MemberTable::MemberTable(VmInfo self)
    : m_selfId(self.m_id)
{
    Member member;
    member.m_leaving = self.m_state == VmState::Leaving;
    member.m_info = std::move(self);
    m_members.emplace(m_selfId, std::move(member));
}

const Member *MemberTable::find(const VmId &id) const
{
    const auto member = m_members.find(id);
    return member == m_members.end() ? nullptr : &member->second;
}

bool MemberTable::merge(const VmInfo &report, TimePoint now, Duration suspicion)
{
    if (report.m_id == m_selfId)
        return refute(report);
    const auto known = m_members.find(report.m_id);
    if (known == m_members.end() || report.m_incarnation > known->second.m_info.m_incarnation)
        return adopt(report, now, suspicion);
    Member &member = known->second;
    if (report.m_incarnation < member.m_info.m_incarnation)
        return false;
    const VmInfo before = member.m_info;
    if (report.m_state == VmState::Leaving)
        member.m_leaving = true;
    if (report.m_refutation > before.m_refutation) {
        member.m_info.m_refutation = report.m_refutation;
        setState(member, report.m_state, now, suspicion);
    } else if (report.m_refutation == before.m_refutation) {
        setState(member, std::max(report.m_state, before.m_state), now, suspicion);
    } else {
        setState(member, before.m_state, now, suspicion);
    }
    if (member.m_info == before)
        return false;
    ++m_version;
    return true;
}

bool MemberTable::adopt(const VmInfo &report, TimePoint now, Duration suspicion)
{
    // The death of an unknown VM is ignored: otherwise VMs could spread it to each other for ever.
    if (report.m_state == VmState::Dead && !m_members.contains(report.m_id))
        return false;
    Member member;
    member.m_info = report;
    member.m_info.m_state = VmState::Live;
    member.m_leaving = report.m_state == VmState::Leaving;
    setState(member, report.m_state, now, suspicion);
    m_members.insert_or_assign(report.m_id, std::move(member));
    ++m_version;
    return true;
}

void MemberTable::setState(Member &member, VmState state, TimePoint now, Duration suspicion)
{
    if (state != VmState::Dead && member.m_leaving)
        state = VmState::Leaving;
    if (state == member.m_info.m_state && state != VmState::Live)
        return;
    member.m_info.m_state = state;
    member.m_suspectUntil.reset();
    if (state == VmState::Suspect)
        member.m_suspectUntil = now + suspicion;
    if (state == VmState::Dead)
        member.m_deadSince = now;
}

bool MemberTable::refute(const VmInfo &report)
{
    Member &self = selfMember();
    VmInfo &info = self.m_info;
    if (report.m_incarnation < info.m_incarnation)
        return false;
    if (report.m_incarnation > info.m_incarnation) {
        // An earlier process of this VM, whose wall clock was ahead.
        info.m_incarnation = report.m_incarnation + 1;
        ++m_version;
        return true;
    }
    if (report.m_state == VmState::Leaving && !self.m_leaving)
        return markLeaving(m_selfId);
    const bool accused = report.m_state == VmState::Suspect || report.m_state == VmState::Dead;
    if (!accused || report.m_refutation < info.m_refutation)
        return false;
    info.m_refutation = report.m_refutation + 1;
    ++m_version;
    return true;
}

bool MemberTable::merge(const EndpointNotice &notice, TimePoint now)
{
    const NoticeKey key{ notice.m_endpoint, notice.m_kind };
    const auto held = m_notices.find(key);
    if (held != m_notices.end() && !isNewerNotice(notice, held->second.m_notice))
        return false;
    m_notices.insert_or_assign(key, StoredNotice{ notice, now });
    ++m_version;
    return true;
}

bool MemberTable::setRevision(const VmId &id, uint64_t incarnation, uint64_t revision)
{
    const auto member = m_members.find(id);
    if (member == m_members.end() || member->second.m_info.m_incarnation != incarnation)
        return false;
    uint64_t &held = member->second.m_info.m_intentRevision;
    if (revision <= held)
        return false;
    held = revision;
    ++m_version;
    return true;
}

bool MemberTable::suspect(const VmId &id, TimePoint until)
{
    const auto found = m_members.find(id);
    if (found == m_members.end() || found->second.m_info.m_state == VmState::Dead)
        return false;
    Member &member = found->second;
    if (member.m_suspectUntil)
        return false;
    member.m_suspectUntil = until;
    if (member.m_info.m_state != VmState::Live)
        return false;
    member.m_info.m_state = VmState::Suspect;
    ++m_version;
    return true;
}

bool MemberTable::declareDead(const VmId &id, TimePoint now)
{
    const auto member = m_members.find(id);
    if (id == m_selfId || member == m_members.end()
        || member->second.m_info.m_state == VmState::Dead)
        return false;
    setState(member->second, VmState::Dead, now, Duration::zero());
    ++m_version;
    return true;
}

bool MemberTable::markLeaving(const VmId &id)
{
    const auto member = m_members.find(id);
    if (member == m_members.end() || member->second.m_leaving)
        return false;
    member->second.m_leaving = true;
    if (member->second.m_info.m_state != VmState::Dead)
        member->second.m_info.m_state = VmState::Leaving;
    ++m_version;
    return true;
}

void MemberTable::forget(TimePoint now, Duration dead, Duration notices)
{
    std::erase_if(m_members, [&](const auto &entry) {
        const Member &member = entry.second;
        return member.m_info.m_state == VmState::Dead && now - member.m_deadSince > dead;
    });
    const size_t before = m_notices.size();
    std::erase_if(m_notices,
                  [&](const auto &entry) { return now - entry.second.m_receivedAt > notices; });
    if (m_notices.size() != before)
        ++m_version;
}

size_t MemberTable::aliveCount() const
{
    return std::count_if(m_members.begin(), m_members.end(), [](const auto &entry) {
        return entry.second.m_info.m_state != VmState::Dead;
    });
}

uint64_t MemberTable::digest() const
{
    if (m_digestVersion == m_version)
        return m_digest;
    m_digest = 0;
    for (const auto &[id, member] : m_members) {
        if (member.m_info.m_state != VmState::Dead)
            m_digest ^= hashOf(member);
    }
    m_digestVersion = m_version;
    return m_digest;
}

} // namespace stackquay
