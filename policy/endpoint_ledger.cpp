#include "policy/endpoint_ledger.h"

#include <algorithm>

namespace stackquay {

namespace {

bool inPrefill(const Grant &grant)
{
    return grant.m_phase != GrantPhase::Decode;
}

void addToTotals(LedgerTotals &totals, const Grant &grant)
{
    ++totals.m_grants;
    totals.m_memoryTokens += grant.m_memoryTokens;
    if (!inPrefill(grant)) {
        ++totals.m_decoding;
        return;
    }
    totals.m_prefillTokens += grant.m_uncachedTokens;
    if (isLongPrefill(grant.m_class)) {
        ++totals.m_longPrefills;
        totals.m_longTokens += grant.m_uncachedTokens;
    }
}

void subtractFromTotals(LedgerTotals &totals, const Grant &grant)
{
    --totals.m_grants;
    totals.m_memoryTokens -= grant.m_memoryTokens;
    if (!inPrefill(grant)) {
        --totals.m_decoding;
        return;
    }
    totals.m_prefillTokens -= grant.m_uncachedTokens;
    if (isLongPrefill(grant.m_class)) {
        --totals.m_longPrefills;
        totals.m_longTokens -= grant.m_uncachedTokens;
    }
}

void beginPrefill(EndpointLedger &ledger, const Grant &grant)
{
    if (grant.m_chunkTime > Duration::zero())
        ledger.m_chunkedGrants.push_back(
            { grant.m_id, grant.m_predictedPrefill, grant.m_chunkTime });
    else
        ledger.m_unchunkedPrefillTime += grant.m_predictedPrefill;
}

void endPrefill(EndpointLedger &ledger, const Grant &grant, TimePoint now)
{
    ledger.m_prefillSince = now;
    if (grant.m_chunkTime > Duration::zero())
        std::erase_if(ledger.m_chunkedGrants,
                      [&](const auto &e) { return e.m_grant == grant.m_id; });
    else
        ledger.m_unchunkedPrefillTime -= grant.m_predictedPrefill;
}

/// @p ahead less the time since the current prefill started; not below zero.
Duration subtractElapsed(const EndpointLedger &ledger, Duration ahead, TimePoint now)
{
    const auto passed = std::max(Duration::zero(), now - ledger.m_prefillSince);
    return std::max(Duration::zero(), ahead - passed);
}

bool fitsLongBudget(const EndpointLedger &ledger, uint64_t tokens)
{
    const auto &capacity = ledger.m_capacity;
    const auto &totals = ledger.m_totals;
    if (totals.m_longPrefills == 0)
        return true;
    if (capacity.m_longPrefills != 0 && totals.m_longPrefills >= capacity.m_longPrefills)
        return false;
    return capacity.m_longTokens == 0 || totals.m_longTokens + tokens <= capacity.m_longTokens;
}

} // namespace

std::string_view ledgerRefusalName(LedgerRefusal refusal)
{
    switch (refusal) {
    case LedgerRefusal::Memory:
        return "no_memory";
    case LedgerRefusal::Slots:
        return "no_slots";
    case LedgerRefusal::LongPrefill:
        return "long_prefill_budget";
    case LedgerRefusal::ChunkedPrefill:
        return "chunked_prefills";
    case LedgerRefusal::Backlog:
        return "backlog";
    case LedgerRefusal::TooLong:
        return "prompt_too_long";
    }
    return "unknown";
}

std::optional<LedgerRefusal> checkFits(const EndpointLedger &ledger, const LedgerNeed &need,
                                       TimePoint now)
{
    const auto &capacity = ledger.m_capacity;
    const auto &totals = ledger.m_totals;
    if (capacity.m_memoryTokens != 0) {
        if (need.m_memoryTokens > capacity.m_memoryTokens)
            return LedgerRefusal::TooLong;
        if (totals.m_memoryTokens + need.m_memoryTokens > capacity.m_memoryTokens)
            return LedgerRefusal::Memory;
    }
    if (capacity.m_slots != 0 && totals.m_grants >= capacity.m_slots)
        return LedgerRefusal::Slots;
    const bool isLong = isLongPrefill(lengthClass(need.m_uncachedTokens));
    if (isLong && !fitsLongBudget(ledger, need.m_uncachedTokens))
        return LedgerRefusal::LongPrefill;
    if (need.m_chunkedPrefill) {
        const bool full = capacity.m_chunkedPrefills != 0
                          && ledger.m_chunkedGrants.size() >= capacity.m_chunkedPrefills;
        return full ? std::optional(LedgerRefusal::ChunkedPrefill) : std::nullopt;
    }
    const bool bounded = capacity.m_backlog > Duration::zero();
    if (bounded && subtractElapsed(ledger, ledger.m_unchunkedPrefillTime, now) > capacity.m_backlog)
        return LedgerRefusal::Backlog;
    return std::nullopt;
}

bool addGrant(EndpointLedger &ledger, Grant grant, TimePoint now)
{
    if (ledger.m_grants.contains(grant.m_id))
        return false;
    if (inPrefill(grant)) {
        if (ledger.m_totals.m_grants == ledger.m_totals.m_decoding)
            ledger.m_prefillSince = now;
        beginPrefill(ledger, grant);
    }
    addToTotals(ledger.m_totals, grant);
    auto id = grant.m_id;
    ledger.m_grants.emplace(std::move(id), std::move(grant));
    return true;
}

bool startGrant(EndpointLedger &ledger, const GrantId &id, TimePoint now, TimePoint expiry)
{
    const auto found = ledger.m_grants.find(id);
    if (found == ledger.m_grants.end())
        return false;
    auto &grant = found->second;
    grant.m_expiry = std::max(grant.m_expiry, expiry);
    if (grant.m_phase != GrantPhase::Granted)
        return true;
    grant.m_phase = GrantPhase::Prefill;
    grant.m_since = now;
    return true;
}

bool noteFirstToken(EndpointLedger &ledger, const GrantId &id, TimePoint now)
{
    const auto found = ledger.m_grants.find(id);
    if (found == ledger.m_grants.end() || !inPrefill(found->second))
        return false;
    auto &grant = found->second;
    endPrefill(ledger, grant, now);
    subtractFromTotals(ledger.m_totals, grant);
    grant.m_phase = GrantPhase::Decode;
    grant.m_since = now;
    addToTotals(ledger.m_totals, grant);
    return true;
}

bool noteChunk(EndpointLedger &ledger, const GrantId &id, Duration prefillLeft, TimePoint now)
{
    const auto found = ledger.m_grants.find(id);
    if (found == ledger.m_grants.end() || !inPrefill(found->second))
        return false;
    auto &grant = found->second;
    endPrefill(ledger, grant, now);
    grant.m_predictedPrefill = prefillLeft;
    beginPrefill(ledger, grant);
    return true;
}

bool extendGrant(EndpointLedger &ledger, const GrantId &id, TimePoint expiry)
{
    const auto found = ledger.m_grants.find(id);
    if (found == ledger.m_grants.end())
        return false;
    found->second.m_expiry = std::max(found->second.m_expiry, expiry);
    return true;
}

std::optional<Grant> releaseGrant(EndpointLedger &ledger, const GrantId &id, TimePoint now)
{
    const auto found = ledger.m_grants.find(id);
    if (found == ledger.m_grants.end())
        return std::nullopt;
    auto grant = std::move(found->second);
    ledger.m_grants.erase(found);
    subtractFromTotals(ledger.m_totals, grant);
    if (inPrefill(grant))
        endPrefill(ledger, grant, now);
    return grant;
}

std::vector<Grant> releaseExpired(EndpointLedger &ledger, TimePoint now)
{
    std::vector<GrantId> expired;
    for (const auto &[id, grant] : ledger.m_grants) {
        if (grant.m_expiry <= now)
            expired.push_back(id);
    }
    std::vector<Grant> released;
    for (const auto &id : expired)
        released.push_back(*releaseGrant(ledger, id, now));
    return released;
}

std::vector<Grant> revokeAll(EndpointLedger &ledger)
{
    std::vector<Grant> released;
    for (auto &[id, grant] : ledger.m_grants)
        released.push_back(std::move(grant));
    ledger.m_grants.clear();
    ledger.m_totals = {};
    ledger.m_unchunkedPrefillTime = Duration::zero();
    ledger.m_chunkedGrants.clear();
    return released;
}

Duration remainingPrefillTime(const EndpointLedger &ledger, TimePoint now)
{
    auto ahead = ledger.m_unchunkedPrefillTime;
    for (const auto &chunked : ledger.m_chunkedGrants)
        ahead += chunked.m_remainingTime;
    return subtractElapsed(ledger, ahead, now);
}

Duration unchunkedStartDelay(const EndpointLedger &ledger, TimePoint now)
{
    Duration chunk{};
    for (const auto &chunked : ledger.m_chunkedGrants)
        chunk = std::max(chunk, std::min(chunked.m_remainingTime, chunked.m_chunkTime));
    return subtractElapsed(ledger, ledger.m_unchunkedPrefillTime + chunk, now);
}

Duration chunkedPrefillDelay(const EndpointLedger &ledger, Duration own, TimePoint now)
{
    auto ahead = subtractElapsed(ledger, ledger.m_unchunkedPrefillTime, now);
    for (const auto &chunked : ledger.m_chunkedGrants)
        ahead += std::min(chunked.m_remainingTime, own);
    return ahead;
}

LedgerTotals countTotals(const EndpointLedger &ledger)
{
    LedgerTotals totals;
    for (const auto &[id, grant] : ledger.m_grants)
        addToTotals(totals, grant);
    return totals;
}

void noteQueueFull(EndpointLedger &ledger)
{
    ledger.m_capacity.m_slots = std::max(1u, ledger.m_totals.m_grants);
}

void noteAccepted(EndpointLedger &ledger, uint32_t maxSlots)
{
    auto &slots = ledger.m_capacity.m_slots;
    if (slots != 0 && slots < maxSlots && ledger.m_totals.m_grants >= slots)
        ++slots;
}

} // namespace stackquay
