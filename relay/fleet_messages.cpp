#include "relay/fleet_messages.h"

namespace stackquay {

FreshnessProof routesProofOf(const StateSummary &summary, Duration delay, TimePoint now)
{
    return proofFromAge(summary.m_routesVersion, summary.m_proofEra, Millis(summary.m_proofAgeMs),
                        delay, now);
}

DirectoryProof directoryProofOf(const StateSummary &summary, Duration delay, TimePoint now)
{
    return { summary.m_directory, summary.m_evacuations,
             now - Millis(summary.m_directoryAgeMs) - delay };
}

} // namespace stackquay
