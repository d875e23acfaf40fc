#include "policy/leader_lease.h"

#include <algorithm>

namespace stackquay {

namespace {

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

/// Stores the record of a version that is newer than the latest known one.
void recordVersion(LeaderLease &lease, uint64_t version, const LeaderLeaseRecord &record,
                   TimePoint now)
{
    if (lease.m_observed && version <= lease.m_version)
        return;
    lease.m_observed = true;
    lease.m_version = version;
    lease.m_record = record;
    lease.m_firstSeen = now;
    lease.m_receivedByHandover = false;
}

bool isOwn(const LeaderLease &lease, const LeaderLeaseRecord &record)
{
    return record.m_holder == lease.m_self && record.m_incarnation == lease.m_incarnation
           && record.m_writeId > lease.m_handedOverWriteId;
}

/// Whether no other VM can still hold the lease by the latest known version.
bool mayWrite(const LeaderLease &lease, TimePoint now)
{
    if (lease.m_version == 0)
        return true;
    // After the handed-over time has passed, the record that came with it may be out of date.
    if (lease.m_receivedByHandover && holdsLeaderLease(lease, now))
        return true;
    if (isOwn(lease, lease.m_record))
        return true;
    const Duration wait = scaled(lease.m_settings.m_duration, 1 + lease.m_settings.m_clockDrift);
    return now >= lease.m_firstSeen + wait;
}

} // namespace

bool holdsLeaderLease(const LeaderLease &lease, TimePoint now)
{
    return now < lease.m_heldUntil;
}

void observeLeaderLease(LeaderLease &lease, uint64_t version, const LeaderLeaseRecord &record,
                        TimePoint now)
{
    if (lease.m_pendingWrite && record == lease.m_pendingWrite->m_record) {
        confirmLeaderLeaseWrite(lease, record.m_writeId, version, now);
        return;
    }
    if (version > lease.m_version && !isOwn(lease, record))
        lease.m_heldUntil = {};
    recordVersion(lease, version, record, now);
    lease.m_pendingWrite.reset();
}

std::optional<LeaderLeaseWrite> beginLeaderLeaseWrite(LeaderLease &lease, TimePoint now)
{
    if (!lease.m_observed || lease.m_pendingWrite || !mayWrite(lease, now))
        return std::nullopt;
    const bool renewalDue =
        now + lease.m_settings.m_duration >= lease.m_heldUntil + lease.m_settings.m_renewInterval;
    if (holdsLeaderLease(lease, now) && !renewalDue)
        return std::nullopt;
    lease.m_lastWriteId += 1;
    const LeaderLeaseRecord record{ lease.m_self, lease.m_incarnation, lease.m_lastWriteId };
    lease.m_pendingWrite = LeaderLeaseWrite{ lease.m_version, record };
    lease.m_pendingSince = now;
    return lease.m_pendingWrite;
}

void confirmLeaderLeaseWrite(LeaderLease &lease, uint64_t writeId, uint64_t version, TimePoint now)
{
    if (!lease.m_pendingWrite || lease.m_pendingWrite->m_record.m_writeId != writeId)
        return;
    const LeaderLeaseRecord record = lease.m_pendingWrite->m_record;
    lease.m_pendingWrite.reset();
    recordVersion(lease, version, record, now);
    lease.m_heldUntil =
        std::max(lease.m_heldUntil, lease.m_pendingSince + lease.m_settings.m_duration);
}

void rejectLeaderLeaseWrite(LeaderLease &lease)
{
    lease.m_pendingWrite.reset();
}

std::optional<LeaderLeaseHandover> handOverLeaderLease(LeaderLease &lease, TimePoint now)
{
    if (!holdsLeaderLease(lease, now))
        return std::nullopt;
    const LeaderLeaseHandover handover{ lease.m_version, lease.m_record, lease.m_heldUntil - now };
    lease.m_heldUntil = {};
    lease.m_handedOverWriteId = lease.m_lastWriteId;
    lease.m_receivedByHandover = false;
    lease.m_pendingWrite.reset();
    return handover;
}

void receiveLeaderLease(LeaderLease &lease, const LeaderLeaseHandover &handover,
                        TimePoint requestedAt, TimePoint now)
{
    if (lease.m_observed && handover.m_version < lease.m_version)
        return;
    recordVersion(lease, handover.m_version, handover.m_record, now);
    lease.m_pendingWrite.reset();
    lease.m_receivedByHandover = true;
    const Duration remaining = scaled(handover.m_remaining, 1 - lease.m_settings.m_clockDrift);
    lease.m_heldUntil = std::max(lease.m_heldUntil, requestedAt + remaining);
}

} // namespace stackquay
