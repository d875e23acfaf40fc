#include "policy/freshness.h"

#include <algorithm>

namespace stackquay {

bool covers(const EndpointDirectory &endpoints, const Evacuations &evacuations,
            const DirectoryProof &proof)
{
    const auto isNotOlder = [](const StorePosition &own, const StorePosition &proved) {
        return own.m_era == proved.m_era && own.m_revision >= proved.m_revision;
    };
    return isNotOlder(endpoints.m_position, proof.m_endpoints)
           && isNotOlder(evacuations.m_position, proof.m_evacuations);
}

FreshnessProof mergeProofs(const FreshnessProof &left, const FreshnessProof &right)
{
    const bool leftIsHigher = left.m_version > right.m_version;
    const FreshnessProof &higher = leftIsHigher ? left : right;
    const FreshnessProof &lower = leftIsHigher ? right : left;
    const bool same = lower.m_version == higher.m_version;
    if (!same && lower.m_era > higher.m_era)
        return higher;
    return { higher.m_version, std::max(left.m_provedAt, right.m_provedAt),
             same ? std::max(left.m_era, right.m_era) : higher.m_era };
}

FreshnessProof proofFor(uint64_t version, const FreshnessProof &proof)
{
    if (!proof.known() || proof.m_version > version)
        return {};
    return { version, proof.m_provedAt, proof.m_era };
}

Duration excessDelay(DelayEstimator &clock, TimePoint sent, TimePoint received)
{
    const Duration offset = received - sent;
    clock.m_minOffset = clock.m_started ? std::min(clock.m_minOffset, offset) : offset;
    clock.m_started = true;
    return offset - clock.m_minOffset;
}

FreshnessProof proofFromAge(uint64_t version, uint64_t era, Duration age, Duration callTime,
                            TimePoint now)
{
    return { version, now - age - callTime, era };
}

bool isFreshEnough(const FreshnessProof &proof, uint64_t version, Duration bound, TimePoint now)
{
    return proof.known() && proof.m_version == version && now - proof.m_provedAt <= bound;
}

} // namespace stackquay
