/// Decides whether an attempt still waits for an endpoint that may have gone.
///
/// The endpoint's silence alone shows nothing: prefill takes seconds. A missing entry in the
/// directory shows little more, because an endpoint that leaves finishes its requests after its
/// entry was removed, and one that is cut off from the store loses its entry while it serves.
/// Before an attempt is abandoned, the endpoint therefore has to leave a probe unanswered, too.
#pragma once

#include "policy/endpoint_directory.h"

namespace stackquay {

/// What the directory says of the process that runs an attempt.
enum class ProcessListing {
    Listed,
    Leaving, ///< Its entry is missing; it had announced that it would leave.
    Absent, ///< Its entry is missing.
    /// Its entry is missing after an outage of the store, in which live endpoints lose theirs.
    Unconfirmed,
    Replaced, ///< A later process runs under its id.
};

/// The listing of the process of @p record, as it was when the attempt was placed. @p wasDraining:
/// it has announced since then that it leaves. An entry that cannot be parsed counts as listed.
ProcessListing listingOf(const EndpointDirectory &directory, const EndpointRecord &record,
                         bool wasDraining);

struct AbsenceSettings {
    /// An attempt that received bytes more recently is alive.
    Millis m_minSilence{ 200 };
    /// The same for an endpoint that is listed. Only attempts that hold memory on other endpoints
    /// are checked there, because that memory has to be free soon after the endpoint's end, and its
    /// entry expires only shortly before.
    Millis m_minListedSilence{ 1'000 };
    /// All probes of a listed endpoint have to fail for so long, because one that pauses goes on. A
    /// part of the time within which the memory has to be free.
    Millis m_minListedFailing{ 2'000 };
    /// Between probes of an endpoint that answers. Each VM with a silent attempt there probes it.
    Millis m_probeInterval{ 1'000 };
    /// Consecutive probes that have to fail, as one can be lost with a packet.
    uint32_t m_minFailedProbes = 1;
    /// The same if a wrong decision costs more: the attempt cannot be repeated, or the endpoint is
    /// listed, or is known to finish its requests.
    uint32_t m_minFailedProbesIfCostly = 2;
};

/// What is known of an attempt and its endpoint.
struct AbsenceEvidence {
    ProcessListing m_listing = ProcessListing::Listed;
    bool m_repeatable = false; ///< The request may run again elsewhere.
    bool m_holdsMemory = false; ///< Memory on other endpoints is reserved for the attempt.
    Duration m_silence{}; ///< Since the attempt was sent or last received bytes.
    uint32_t m_failedProbes = 0; ///< Consecutive, since the endpoint last sent anything.
    Duration m_failingFor{}; ///< Since the first of them began.
    Duration m_sinceProbe = Duration::max(); ///< Since the last probe ended; max(): none.
};

enum class AbsenceDecision {
    Wait,
    Probe, ///< Probe the endpoint, and decide again.
    Abandon,
};

AbsenceDecision decideAbsence(const AbsenceSettings &settings, const AbsenceEvidence &evidence);

} // namespace stackquay
