#include "policy/freshness.h"

namespace stackquay {

FreshnessProof betterProof(const FreshnessProof &left, const FreshnessProof &right)
{
    if (left.m_version != right.m_version)
        return left.m_version > right.m_version ? left : right;
    return left.m_provedAt >= right.m_provedAt ? left : right;
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
