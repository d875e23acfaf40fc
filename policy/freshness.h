/// Bounds the staleness of a VM's copy of the configuration.
///
/// A proof states that at some time on this VM's steady clock a version was the newest one in the
/// store: the time at which a linearizable read began. Proofs are sent between VMs as an age. The
/// receiver adds the duration of the whole call, so that no clocks are compared.
#pragma once

#include <cstdint>

#include "core/core.h"
#include "policy/endpoint_directory.h"
#include "policy/evacuations.h"

namespace stackquay {

struct FreshnessProof {
    uint64_t m_version = 0;
    TimePoint m_provedAt{}; ///< When the version was the newest.
    uint64_t m_era = 0; ///< As StorePosition::m_era.

    /// Whether there is a proof.
    bool known() const { return m_version != 0; }
};

/// A VM's proof of its endpoints and evacuations.
struct DirectoryProof {
    StorePosition m_endpoints; ///< Position of its directory.
    StorePosition m_evacuations; ///< Position of its list; unknown if it has none.
    TimePoint m_provedAt{}; ///< When nothing had changed in the store after these positions.
};

/// Whether @p proof also proves @p endpoints and @p evacuations: they are not older than those that
/// it is about, so they contain all that was written before its time. Positions of different eras
/// do not show that.
bool covers(const EndpointDirectory &endpoints, const Evacuations &evacuations,
            const DirectoryProof &proof);

/// Combines two proofs: the higher version and the later time. Whatever was written before the time
/// of the lower version's proof is part of the higher version too. This does not hold if the lower
/// version was proved in a later era, since the restored store may have lost the higher version,
/// which may have revoked keys; the proof of the higher version is then returned alone.
FreshnessProof mergeProofs(const FreshnessProof &left, const FreshnessProof &right);

/// A proof for @p version, which was read but not proved itself, from @p proof of the same or a
/// lower version. Unknown if there is none.
FreshnessProof proofFor(uint64_t version, const FreshnessProof &proof);

/// Estimates the delay of messages from one process without synchronized clocks, relative to the
/// fastest message so far. Detects messages that waited in a buffer while this VM was frozen.
struct DelayEstimator {
    bool m_started = false; ///< A message has been seen.
    Duration m_minOffset{}; ///< Offset of the clocks plus the travel time of the fastest message.
};

/// Delay of a message beyond that of the fastest one. @p sent is on the sender's clock, @p received
/// on the receiver's.
Duration excessDelay(DelayEstimator &clock, TimePoint sent, TimePoint received);

/// The proof from a peer's answer. @p age: age of the proof when the peer answered; @p callTime:
/// duration of the call that ended at @p now.
FreshnessProof proofFromAge(uint64_t version, uint64_t era, Duration age, Duration callTime,
                            TimePoint now);

/// Whether @p version was proved at most @p bound ago, so that requests that need a key may still
/// be admitted with it.
bool isFreshEnough(const FreshnessProof &proof, uint64_t version, Duration bound, TimePoint now);

} // namespace stackquay
