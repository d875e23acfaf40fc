/// How long a VM may rely on the newest configuration it knows.
///
/// A proof says: at this moment of the steady clock, this version was the newest in the store. The
/// moment is that at which the linearizable read began. Between VMs a proof travels as an age, to
/// which the receiver adds the time of the whole call, so that no clocks are compared.
#pragma once

#include <cstdint>

#include "core/core.h"

namespace stackquay {

struct FreshnessProof {
    uint64_t m_version = 0;
    TimePoint m_provedAt{};

    bool known() const { return m_version != 0; }
};

/// The better of two proofs: the higher version, and of one version the later moment. A version
/// seen without proof of its own keeps no older version's moment.
FreshnessProof betterProof(const FreshnessProof &left, const FreshnessProof &right);

/// The proof as a peer passes it on, received after @p callTime.
FreshnessProof proofFromAge(uint64_t version, Duration age, Duration callTime, TimePoint now);

/// Whether requests that need a key may still be admitted under @p version.
bool freshEnough(const FreshnessProof &proof, uint64_t version, Duration bound, TimePoint now);

} // namespace stackquay
