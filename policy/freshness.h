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
    uint64_t m_era = 0; ///< Of the store that said so.

    bool known() const { return m_version != 0; }
};

/// What two proofs say together: the higher version and the later moment. What was written before
/// the moment of a lower version's proof is in every higher version too; but not if a later era
/// said so, whose store may have lost versions that took keys away.
FreshnessProof joinProofs(const FreshnessProof &left, const FreshnessProof &right);

/// The proof that holds for @p version, which was seen but not proved itself: that of a lower
/// version, if there is one.
FreshnessProof proofFor(uint64_t version, const FreshnessProof &proof);

/// Tells how long messages of one process were on their way, though its clock starts elsewhere: the
/// quickest one so far is taken as not delayed. Messages that waited for a frozen VM are seen so.
struct ArrivalClock {
    bool m_started = false;
    Duration m_leastOffset{}; ///< Between both clocks, plus the travel of the quickest.
};

/// How much longer than the quickest a message was on its way.
Duration delayOf(ArrivalClock &clock, TimePoint sent, TimePoint received);

/// The proof as a peer passes it on, received after @p callTime.
FreshnessProof proofFromAge(uint64_t version, uint64_t era, Duration age, Duration callTime,
                            TimePoint now);

/// Whether requests that need a key may still be admitted under @p version.
bool freshEnough(const FreshnessProof &proof, uint64_t version, Duration bound, TimePoint now);

} // namespace stackquay
