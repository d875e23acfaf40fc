/// The steward's exact account of one endpoint: what has been granted and what is in flight.
///
/// A grant is released exactly once, whichever comes first: finished, refused, expired or revoked.
/// Every sum is the sum over the live grants, so nothing leaks and nothing goes below zero.
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
    Granted, ///< Given out; the holder has not said yet that it started.
    Prefill, ///< Started on the endpoint, no token yet.
    Decode, ///< The first token came.
};

struct Grant {
    GrantId m_id;
    AttemptId m_attempt;
    CustomerId m_customer;
    VmId m_holder; ///< The VM that asked and talks to the endpoint.
    LengthClass m_class = LengthClass::Short;
    uint64_t m_uncachedTokens = 0;
    uint64_t m_cachedTokens = 0;
    uint64_t m_memoryTokens = 0; ///< KV cache that prompt and answer may take.
    uint64_t m_outputTokens = 0; ///< At most.
    uint32_t m_batch = 0; ///< Requests that decoded on the endpoint when it was granted.
    Duration m_predictedPrefill{}; ///< Of what is left of the prefill.
    Duration m_chunkTime{}; ///< Of one chunk, if it goes in chunks; zero: all at once.
    /// Until when it is valid; moved on by starting, and by each sign of life of the holder.
    TimePoint m_expiry;
    GrantPhase m_phase = GrantPhase::Granted;
    TimePoint m_since; ///< When the phase began.
};

/// What one endpoint takes at once. Zero means unlimited.
struct EndpointCapacity {
    uint64_t m_memoryTokens = 0;
    uint32_t m_slots = 64; ///< Requests in flight.
    uint32_t m_longPrefills = 1; ///< Prefills at once for which isLongPrefill() holds.
    uint64_t m_longTokens = 0; ///< Tokens of such prefills at once; one alone always fits.
    uint32_t m_chunkedPrefills = 3; ///< Prefills in chunks at once, long ones included.
    /// Time of whole prefills ahead up to which the endpoint takes another one. What comes later
    /// waits at the steward, where the order is ours.
    Duration m_backlog{};
};

/// Sums over the live grants.
struct LedgerTotals {
    uint32_t m_grants = 0;
    uint32_t m_decoding = 0;
    uint64_t m_memoryTokens = 0;
    uint64_t m_prefillTokens = 0; ///< Of grants without a first token.
    uint32_t m_longPrefills = 0;
    uint64_t m_longTokens = 0;

    bool operator==(const LedgerTotals &) const = default;
};

/// A prefill that goes in chunks, so that others run between them.
struct ChunkedPrefill {
    GrantId m_grant;
    Duration m_left{};
    Duration m_chunkTime{};
};

struct EndpointLedger {
    EndpointId m_endpoint;
    EndpointCapacity m_capacity;
    LedgerTotals m_totals;
    Duration m_wholeAhead{}; ///< Predicted time of the prefills that go all at once.
    std::vector<ChunkedPrefill> m_chunked;
    TimePoint m_prefillSince; ///< When the engine began the prefill that it is at.
    std::unordered_map<GrantId, Grant> m_grants;
};

/// Why an endpoint takes no further request now.
enum class LedgerRefusal {
    Memory,
    Slots,
    LongPrefill,
    ChunkedPrefill,
    Backlog,
    TooLong, ///< More than the endpoint's whole memory: it will never fit.
};

std::string_view ledgerRefusalName(LedgerRefusal refusal);

/// What a request would take.
struct LedgerNeed {
    uint64_t m_uncachedTokens = 0;
    uint64_t m_memoryTokens = 0;
    bool m_inChunks = false;
};

/// Nothing if the request fits now, else the reason.
std::optional<LedgerRefusal> checkFits(const EndpointLedger &ledger, const LedgerNeed &need,
                                       TimePoint now);

/// Enters a grant, whether or not it fits: a new steward adopts what is in flight. False if the id
/// is already there.
bool addGrant(EndpointLedger &ledger, Grant grant, TimePoint now);
/// Converts a grant to in-flight. False if it is no longer there: it expired or was revoked.
bool startGrant(EndpointLedger &ledger, const GrantId &id, TimePoint now, TimePoint expiry);
/// The first token came: the prefill is over. False if unknown or repeated.
bool noteFirstToken(EndpointLedger &ledger, const GrantId &id, TimePoint now);
/// A chunk of the prefill is done: the engine is at the next piece of work now.
bool noteChunk(EndpointLedger &ledger, const GrantId &id, Duration prefillLeft, TimePoint now);
/// Moves the expiry on. False if unknown.
bool extendGrant(EndpointLedger &ledger, const GrantId &id, TimePoint expiry);
/// Takes a grant out, in any phase. Idempotent: nothing the second time.
std::optional<Grant> releaseGrant(EndpointLedger &ledger, const GrantId &id, TimePoint now);
/// Releases what has expired and returns it.
std::vector<Grant> sweepExpired(EndpointLedger &ledger, TimePoint now);
/// Releases all grants, as the endpoint has left.
std::vector<Grant> revokeAll(EndpointLedger &ledger);

/// Predicted time until the prefills granted so far are done.
Duration prefillAhead(const EndpointLedger &ledger, TimePoint now);
/// Predicted time until a newcomer that goes all at once begins: it overtakes waiting chunks.
Duration blockingAhead(const EndpointLedger &ledger, TimePoint now);
/// Predicted time that others take from a newcomer of @p own prefill time that goes in chunks: it
/// takes turns with the other chunks, and lets whole prefills pass.
Duration sharedAhead(const EndpointLedger &ledger, Duration own, TimePoint now);
/// The sums, counted anew from the grants.
LedgerTotals countTotals(const EndpointLedger &ledger);

/// Corrects the capacity by an endpoint that refused with "queue_full" below it.
void noteQueueFull(EndpointLedger &ledger);
/// Lets the slots grow again, by one, while the endpoint takes what it gets.
void noteAccepted(EndpointLedger &ledger, uint32_t maxSlots);

} // namespace stackquay
