#include "policy/steward.h"

#include <algorithm>

#include "policy/chunking.h"

namespace stackquay {

namespace {

using FloatSeconds = std::chrono::duration<double>;

/// The endpoint of a grant; null if the grant is unknown.
StewardEndpoint *endpointOf(Steward &steward, const GrantId &grant)
{
    const auto known = steward.m_grants.find(grant);
    if (known == steward.m_grants.end())
        return nullptr;
    const auto endpoint = steward.m_endpoints.find(known->second);
    return endpoint == steward.m_endpoints.end() ? nullptr : &endpoint->second;
}

/// Cost models of all endpoints but @p self.
std::vector<CostModel> otherCostModels(const Steward &steward, const EndpointId &self)
{
    std::vector<CostModel> siblings;
    for (const auto &[id, endpoint] : steward.m_endpoints) {
        if (id != self)
            siblings.push_back(endpoint.m_cost);
    }
    return siblings;
}

/// Updates the prefix index and the cost model with the measurements of a complete attempt.
void updateCostModel(StewardEndpoint &endpoint, const Grant &grant, const AttemptReport &report)
{
    adjustCapacity(endpoint.m_prefixes, grant.m_cachedTokens, report.m_cachedTokens);
    const uint64_t prompt = grant.m_cachedTokens + grant.m_uncachedTokens;
    const uint64_t cached = std::min(report.m_cachedTokens, prompt);
    if (report.m_prefill > Duration::zero())
        observePrefill(endpoint.m_cost, { prompt - cached, cached, grant.m_batch },
                       report.m_prefill);
    if (report.m_outputTokens < 2 || report.m_decode <= Duration::zero())
        return;
    const uint32_t batch =
        std::max(1u, (grant.m_batch + endpoint.m_ledger.m_totals.m_decoding) / 2);
    observeDecodeStep(endpoint.m_cost, batch,
                      report.m_decode / static_cast<int64_t>(report.m_outputTokens - 1));
}

/// Updates StewardModel::m_outputRatio of all models of the endpoint.
void updateOutputRatio(Steward &steward, const StewardEndpoint &endpoint, const Grant &grant,
                       uint64_t outputTokens)
{
    constexpr double Gain = 0.02;
    if (grant.m_outputTokens == 0)
        return;
    const double ratio =
        static_cast<double>(outputTokens) / static_cast<double>(grant.m_outputTokens);
    for (const auto &id : endpoint.m_models) {
        auto &mean = steward.m_models[id].m_outputRatio;
        mean += Gain * (std::min(1.0, ratio) - mean);
    }
}

void applyAttemptEnd(Steward &steward, StewardEndpoint &endpoint, const Grant &grant,
                     const AttemptReport &report, TimePoint now)
{
    switch (report.m_end) {
    case AttemptEnd::Complete:
        noteSuccess(endpoint.m_health);
        noteAccepted(endpoint.m_ledger, steward.m_settings.m_capacity.m_slots);
        updateCostModel(endpoint, grant, report);
        updateOutputRatio(steward, endpoint, grant, report.m_outputTokens);
        return;
    case AttemptEnd::Failed:
        noteFailure(endpoint.m_health, now, steward.m_settings.m_ejection);
        return;
    case AttemptEnd::Cancelled:
        return;
    case AttemptEnd::QueueFull:
        noteQueueFull(endpoint.m_ledger);
        endpoint.m_pausedUntil = now + steward.m_settings.m_refusalPause;
        return;
    case AttemptEnd::NoMemory:
    case AttemptEnd::ModelNotLoaded:
        endpoint.m_pausedUntil = now + steward.m_settings.m_refusalPause;
        return;
    case AttemptEnd::Draining:
        endpoint.m_draining = true;
        return;
    }
}

} // namespace

std::vector<GrantDecision> updateEndpoint(Steward &steward, const EndpointFacts &facts,
                                          TimePoint now)
{
    const auto [entry, added] = steward.m_endpoints.try_emplace(facts.m_id);
    auto &endpoint = entry->second;
    if (added) {
        endpoint.m_ledger.m_endpoint = facts.m_id;
        endpoint.m_ledger.m_capacity = steward.m_settings.m_capacity;
        endpoint.m_cost = coldStartCostModel(facts.m_version, otherCostModels(steward, facts.m_id));
    } else if (endpoint.m_cost.m_version != facts.m_version) {
        resetForVersion(endpoint.m_cost, facts.m_version, otherCostModels(steward, facts.m_id));
        clearIndex(endpoint.m_prefixes);
    }
    if (facts.m_memoryTokens != 0)
        endpoint.m_ledger.m_capacity.m_memoryTokens = facts.m_memoryTokens;
    endpoint.m_models = facts.m_models;
    endpoint.m_draining = facts.m_draining;
    for (const auto &model : facts.m_models)
        steward.m_models.try_emplace(model);
    return expire(steward, now);
}

EndpointRemoval dropEndpoint(Steward &steward, const EndpointId &endpoint, TimePoint now)
{
    EndpointRemoval removal;
    const auto known = steward.m_endpoints.find(endpoint);
    if (known == steward.m_endpoints.end())
        return removal;
    removal.m_revoked = revokeAll(known->second.m_ledger);
    for (const auto &grant : removal.m_revoked)
        steward.m_grants.erase(grant.m_id);
    steward.m_endpoints.erase(known);
    if (steward.m_reservation && steward.m_reservation->m_endpoint == endpoint)
        steward.m_reservation.reset();
    removal.m_decisions = expire(steward, now);
    return removal;
}

bool noteStarted(Steward &steward, const GrantId &grant, TimePoint now, TimePoint expiry)
{
    auto *endpoint = endpointOf(steward, grant);
    return endpoint && startGrant(endpoint->m_ledger, grant, now, expiry);
}

bool adoptGrant(Steward &steward, const EndpointId &endpointId, const Grant &grant, TimePoint now)
{
    const auto endpoint = steward.m_endpoints.find(endpointId);
    if (endpoint == steward.m_endpoints.end() || steward.m_grants.contains(grant.m_id))
        return false;
    steward.m_grants.emplace(grant.m_id, endpointId);
    return addGrant(endpoint->second.m_ledger, grant, now);
}

uint64_t noteChunkDone(Steward &steward, const GrantId &id, uint64_t prefilledTokens, TimePoint now)
{
    auto *endpoint = endpointOf(steward, id);
    if (!endpoint)
        return 0;
    auto &ledger = endpoint->m_ledger;
    const auto &grant = ledger.m_grants.at(id);
    const uint64_t prompt = grant.m_cachedTokens + grant.m_uncachedTokens;
    const uint64_t done = std::min(prefilledTokens, prompt);
    const uint32_t batch = ledger.m_totals.m_decoding;
    const auto bound = grant.m_chunkTime;
    noteChunk(ledger, id, predictPrefill(endpoint->m_cost, { prompt - done, done, batch }), now);
    return chunkTokens(endpoint->m_cost, { 0, done, batch }, bound);
}

bool noteHeartbeat(Steward &steward, const GrantId &grant, TimePoint expiry)
{
    auto *endpoint = endpointOf(steward, grant);
    return endpoint && extendGrant(endpoint->m_ledger, grant, expiry);
}

std::vector<GrantDecision> noteFirstToken(Steward &steward, const GrantId &grant, TimePoint now)
{
    auto *endpoint = endpointOf(steward, grant);
    if (!endpoint || !noteFirstToken(endpoint->m_ledger, grant, now))
        return {};
    return grantWaiting(steward, now);
}

std::vector<GrantDecision> noteFinished(Steward &steward, const GrantId &id,
                                        const AttemptReport &report, TimePoint now)
{
    auto *endpoint = endpointOf(steward, id);
    steward.m_grants.erase(id);
    if (!endpoint)
        return {};
    const auto grant = releaseGrant(endpoint->m_ledger, id, now);
    if (!grant)
        return {};
    applyAttemptEnd(steward, *endpoint, *grant, report, now);
    return grantWaiting(steward, now);
}

void noteCacheEvent(Steward &steward, const EndpointId &endpointId, uint64_t block, bool stored)
{
    const auto endpoint = steward.m_endpoints.find(endpointId);
    if (endpoint == steward.m_endpoints.end())
        return;
    if (stored)
        insertBlock(endpoint->second.m_prefixes, block);
    else
        eraseBlock(endpoint->second.m_prefixes, block);
}

} // namespace stackquay
