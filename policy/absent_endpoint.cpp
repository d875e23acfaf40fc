#include "policy/absent_endpoint.h"

namespace stackquay {

namespace {

Millis minSilence(const AbsenceSettings &settings, ProcessListing listing)
{
    return listing == ProcessListing::Listed ? settings.m_minListedSilence : settings.m_minSilence;
}

uint32_t minFailedProbes(const AbsenceSettings &settings, const AbsenceEvidence &evidence)
{
    const bool missing = evidence.m_listing == ProcessListing::Absent
                         || evidence.m_listing == ProcessListing::Unconfirmed;
    const bool cheap = evidence.m_repeatable && missing;
    return cheap ? settings.m_minFailedProbes : settings.m_minFailedProbesIfCostly;
}

bool failedLongEnough(const AbsenceSettings &settings, const AbsenceEvidence &evidence)
{
    const bool listed = evidence.m_listing == ProcessListing::Listed;
    return !listed || evidence.m_failingFor >= settings.m_minListedFailing;
}

} // namespace

ProcessListing listingOf(const EndpointDirectory &directory, const EndpointRecord &record,
                         bool wasDraining)
{
    if (directory.m_unreadable.count(record.m_id) > 0)
        return ProcessListing::Listed;
    if (isEarlierProcess(directory, record))
        return ProcessListing::Replaced;
    if (directory.m_unconfirmed.count(record.m_id) > 0)
        return ProcessListing::Unconfirmed;
    if (directory.m_endpoints.count(record.m_id) > 0)
        return ProcessListing::Listed;
    return wasDraining ? ProcessListing::Leaving : ProcessListing::Absent;
}

AbsenceDecision decideAbsence(const AbsenceSettings &settings, const AbsenceEvidence &evidence)
{
    const bool listed = evidence.m_listing == ProcessListing::Listed;
    if (listed && !evidence.m_holdsMemory)
        return AbsenceDecision::Wait;
    if (evidence.m_silence < minSilence(settings, evidence.m_listing))
        return AbsenceDecision::Wait;
    if (evidence.m_listing == ProcessListing::Replaced)
        return AbsenceDecision::Abandon;
    if (evidence.m_failedProbes >= minFailedProbes(settings, evidence)
        && failedLongEnough(settings, evidence))
        return AbsenceDecision::Abandon;
    const bool answered = evidence.m_failedProbes == 0;
    return answered && evidence.m_sinceProbe < settings.m_probeInterval ? AbsenceDecision::Wait
                                                                        : AbsenceDecision::Probe;
}

} // namespace stackquay
