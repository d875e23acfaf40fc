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

FreshnessProof proofFromAge(uint64_t version, Duration age, Duration callTime, TimePoint now)
{
    return { version, now - age - callTime };
}

bool freshEnough(const FreshnessProof &proof, uint64_t version, Duration bound, TimePoint now)
{
    return proof.known() && proof.m_version == version && now - proof.m_provedAt <= bound;
}

} // namespace stackquay
