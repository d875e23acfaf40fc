#include "policy/tenure.h"

#include <algorithm>

namespace stackquay {

namespace {

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

void see(Tenure &tenure, uint64_t version, const TenureRecord &record, TimePoint now)
{
    if (tenure.m_observed && version <= tenure.m_version)
        return;
    tenure.m_observed = true;
    tenure.m_version = version;
    tenure.m_record = record;
    tenure.m_firstSeen = now;
    tenure.m_received = false;
}

bool isOwn(const Tenure &tenure, const TenureRecord &record)
{
    return record.m_holder == tenure.m_self && record.m_incarnation == tenure.m_incarnation
           && record.m_writeId > tenure.m_handedOverWriteId;
}

/// Whether nobody else can have time left from the version last seen.
bool mayWrite(const Tenure &tenure, TimePoint now)
{
    if (tenure.m_version == 0)
        return true;
    // Once the received time is over, what came with it may be out of date.
    if (tenure.m_received && holdsTenure(tenure, now))
        return true;
    if (isOwn(tenure, tenure.m_record))
        return true;
    const Duration wait = scaled(tenure.m_settings.m_length, 1 + tenure.m_settings.m_clockDrift);
    return now >= tenure.m_firstSeen + wait;
}

} // namespace

bool holdsTenure(const Tenure &tenure, TimePoint now)
{
    return now < tenure.m_until;
}

void observeTenure(Tenure &tenure, uint64_t version, const TenureRecord &record, TimePoint now)
{
    if (tenure.m_pending && record == tenure.m_pending->m_record) {
        tenureWritten(tenure, record.m_writeId, version, now);
        return;
    }
    if (version > tenure.m_version && !isOwn(tenure, record))
        tenure.m_until = {};
    see(tenure, version, record, now);
    tenure.m_pending.reset();
}

std::optional<TenureWrite> beginTenureWrite(Tenure &tenure, TimePoint now)
{
    if (!tenure.m_observed || tenure.m_pending || !mayWrite(tenure, now))
        return std::nullopt;
    const bool renewalDue =
        now + tenure.m_settings.m_length >= tenure.m_until + tenure.m_settings.m_renewEvery;
    if (holdsTenure(tenure, now) && !renewalDue)
        return std::nullopt;
    tenure.m_lastWriteId += 1;
    const TenureRecord record{ tenure.m_self, tenure.m_incarnation, tenure.m_lastWriteId };
    tenure.m_pending = TenureWrite{ tenure.m_version, record };
    tenure.m_pendingSince = now;
    return tenure.m_pending;
}

void tenureWritten(Tenure &tenure, uint64_t writeId, uint64_t version, TimePoint now)
{
    if (!tenure.m_pending || tenure.m_pending->m_record.m_writeId != writeId)
        return;
    const TenureRecord record = tenure.m_pending->m_record;
    tenure.m_pending.reset();
    see(tenure, version, record, now);
    tenure.m_until = std::max(tenure.m_until, tenure.m_pendingSince + tenure.m_settings.m_length);
}

void tenureRefused(Tenure &tenure)
{
    tenure.m_pending.reset();
}

std::optional<TenureHandover> handOverTenure(Tenure &tenure, TimePoint now)
{
    if (!holdsTenure(tenure, now))
        return std::nullopt;
    const TenureHandover handover{ tenure.m_version, tenure.m_record, tenure.m_until - now };
    tenure.m_until = {};
    tenure.m_handedOverWriteId = tenure.m_lastWriteId;
    tenure.m_received = false;
    tenure.m_pending.reset();
    return handover;
}

void receiveTenure(Tenure &tenure, const TenureHandover &handover, TimePoint asked, TimePoint now)
{
    if (tenure.m_observed && handover.m_version < tenure.m_version)
        return;
    see(tenure, handover.m_version, handover.m_record, now);
    tenure.m_pending.reset();
    tenure.m_received = true;
    const Duration left = scaled(handover.m_left, 1 - tenure.m_settings.m_clockDrift);
    tenure.m_until = std::max(tenure.m_until, asked + left);
}

} // namespace stackquay
