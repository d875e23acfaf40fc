#include "policy/freshness.h"

#include <algorithm>

namespace stackquay {

FreshnessProof joinProofs(const FreshnessProof &left, const FreshnessProof &right)
{
    return { std::max(left.m_version, right.m_version),
             std::max(left.m_provedAt, right.m_provedAt) };
}

FreshnessProof proofFor(uint64_t version, const FreshnessProof &proof)
{
    if (!proof.known() || proof.m_version > version)
        return {};
    return { version, proof.m_provedAt };
}

Duration delayOf(ArrivalClock &clock, TimePoint sent, TimePoint received)
{
    const Duration offset = received - sent;
    clock.m_leastOffset = clock.m_started ? std::min(clock.m_leastOffset, offset) : offset;
    clock.m_started = true;
    return offset - clock.m_leastOffset;
}

FreshnessProof proofFromAge(uint64_t version, Duration age, Duration callTime, TimePoint now)
{
    return { version, now - age - callTime };
}

bool freshEnough(const FreshnessProof &proof, uint64_t version, Duration bound, TimePoint now)
{
    return proof.known() && proof.m_version == version && now - proof.m_provedAt <= bound;
}

} // namespace stackquay
