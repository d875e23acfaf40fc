/// The steward's accounting for one endpoint: its capacity and the grants that use it.
///
/// A grant permits its holder to send one request to the endpoint. It is released exactly once, by
/// the first of: finished, refused, expired, revoked. Each total is the sum over the live grants,
/// so capacity cannot leak and totals cannot become negative.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/length_class.h"

namespace stackquay {

enum class GrantPhase {
    Granted, ///< Issued; the holder has not reported the start yet.
    Prefill, ///< Started on the endpoint; no token yet.
    Decode, ///< The first token was produced.
};

struct Grant {
    GrantId m_id;
    AttemptId m_attempt;
    CustomerId m_customer;
    VmId m_holder; ///< The VM that requested the grant and sends the request.
    LengthClass m_class = LengthClass::Short;
    uint64_t m_uncachedTokens = 0;
    uint64_t m_cachedTokens = 0;
    uint64_t m_memoryTokens = 0; ///< Most KV cache of prompt and answer.
    uint64_t m_outputTokens = 0; ///< Upper limit.
    uint32_t m_batch = 0; ///< Requests in decode on the endpoint at the time of the grant.
    Duration m_predictedPrefill{}; ///< Time of the remaining prefill.
    Duration m_chunkTime{}; ///< Longest time of one chunk; zero: unchunked.
    TimePoint m_expiry; ///< Extended by the start and by each heartbeat of the holder.
    GrantPhase m_phase = GrantPhase::Granted;
    TimePoint m_since; ///< Start of the phase.
};

/// Limits of one endpoint. Zero means unlimited.
struct EndpointCapacity {
    uint64_t m_memoryTokens = 0;
    uint32_t m_slots = 64; ///< Requests in flight.
    uint32_t m_longPrefills = 1; ///< Concurrent prefills for which isLongPrefill() holds.
    uint64_t m_longTokens = 0; ///< Total uncached tokens of these; a single one always fits.
    uint32_t m_chunkedPrefills = 3; ///< Concurrent chunked prefills, including long ones.
    /// Predicted time of queued unchunked prefills up to which the endpoint accepts another one.
    /// Beyond it, requests wait at the steward, which orders them by priority and fairness.
    Duration m_backlog{};
};

/// Sums over the live grants.
struct LedgerTotals {
    uint32_t m_grants = 0;
    uint32_t m_decoding = 0; ///< Grants in the phase Decode.
    uint64_t m_memoryTokens = 0;
    uint64_t m_prefillTokens = 0; ///< Uncached tokens of the grants that are not in Decode.
    uint32_t m_longPrefills = 0; ///< Grants before Decode for which isLongPrefill() holds.
    uint64_t m_longTokens = 0; ///< Uncached tokens of these.

    bool operator==(const LedgerTotals &) const = default;
};

/// A chunked prefill in progress; other requests run between its chunks.
struct ChunkedPrefill {
    GrantId m_grant;
    Duration m_remainingTime{}; ///< Predicted time of the remaining prefill.
    Duration m_chunkTime{}; ///< As Grant::m_chunkTime.
};

struct EndpointLedger {
    EndpointId m_endpoint;
    EndpointCapacity m_capacity;
    LedgerTotals m_totals;
    Duration m_unchunkedPrefillTime{}; ///< Predicted time of the unchunked prefills.
    std::vector<ChunkedPrefill> m_chunkedGrants;
    TimePoint m_prefillSince; ///< Start of the prefill or chunk that the engine runs now.
    std::unordered_map<GrantId, Grant> m_grants;
};

/// Why a request does not fit on an endpoint.
enum class LedgerRefusal {
    Memory, ///< Not enough free KV cache now.
    Slots, ///< All slots are in use.
    LongPrefill, ///< The limits for long prefills are reached, or the engine accepts none.
    ChunkedPrefill, ///< The limit of chunked prefills is reached.
    Backlog, ///< The backlog of unchunked prefills exceeds the limit.
    TooLong, ///< Needs more than the endpoint's total memory: it will never fit.
};

/// Name in logs and metrics.
std::string_view ledgerRefusalName(LedgerRefusal refusal);

/// Capacity that a request needs.
struct LedgerNeed {
    uint64_t m_uncachedTokens = 0;
    uint64_t m_memoryTokens = 0; ///< As Grant::m_memoryTokens.
    bool m_chunkedPrefill = false;
};

/// Nothing if the request fits now, else the reason why not.
std::optional<LedgerRefusal> checkFits(const EndpointLedger &ledger, const LedgerNeed &need,
                                       TimePoint now);

/// Adds a grant, even beyond the capacity, since a new steward adopts all requests in flight. False
/// if the id is known already.
bool addGrant(EndpointLedger &ledger, Grant grant, TimePoint now);
/// Starts the prefill phase and extends the expiry. Idempotent. False if the grant is unknown: it
/// expired or was revoked.
bool startGrant(EndpointLedger &ledger, const GrantId &id, TimePoint now, TimePoint expiry);
/// Ends the prefill at the first token. False if the grant is unknown or already in Decode.
bool noteFirstToken(EndpointLedger &ledger, const GrantId &id, TimePoint now);
/// Records that a chunk is done and that the rest of the prefill is predicted to take @p
/// prefillLeft. False if the grant is unknown or already in Decode.
bool noteChunk(EndpointLedger &ledger, const GrantId &id, Duration prefillLeft, TimePoint now);
/// Extends the expiry; never shortens it. False if the grant is unknown.
bool extendGrant(EndpointLedger &ledger, const GrantId &id, TimePoint expiry);
/// Removes a grant, in any phase, and returns it. Idempotent: nothing if the grant is unknown.
std::optional<Grant> releaseGrant(EndpointLedger &ledger, const GrantId &id, TimePoint now);
/// Releases the expired grants and returns them.
std::vector<Grant> releaseExpired(EndpointLedger &ledger, TimePoint now);
/// Releases all grants and returns them. For endpoints that are removed.
std::vector<Grant> revokeAll(EndpointLedger &ledger);

/// Predicted time until all granted prefills are done.
Duration remainingPrefillTime(const EndpointLedger &ledger, TimePoint now);
/// Predicted delay before a new unchunked prefill starts: the unchunked ones ahead and the chunk
/// that is running. It overtakes waiting chunks.
Duration unchunkedStartDelay(const EndpointLedger &ledger, TimePoint now);
/// Predicted delay of a new chunked prefill that takes @p own by itself: it alternates with the
/// chunks of the others, and unchunked prefills overtake it.
Duration chunkedPrefillDelay(const EndpointLedger &ledger, Duration own, TimePoint now);
/// The totals, recomputed from the grants.
LedgerTotals countTotals(const EndpointLedger &ledger);

/// Lowers the slots to the grants in flight, after the endpoint refused a request with
/// "queue_full".
void noteQueueFull(EndpointLedger &ledger);
/// Raises lowered slots by one, up to @p maxSlots, if all are in use. Call for each completed
/// request.
void noteAccepted(EndpointLedger &ledger, uint32_t maxSlots);

} // namespace stackquay
