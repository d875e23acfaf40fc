#include "policy/steward_place.h"

#include <fmt/format.h>

namespace stackquay::detail {

namespace {

bool isReservedForOther(const Steward &steward, const EndpointId &endpoint,
                        const RequestId &request)
{
    const auto &reserved = steward.m_reservation;
    return reserved && reserved->m_endpoint == endpoint && reserved->m_request != request;
}

} // namespace

bool isUsable(const StewardEndpoint &endpoint, TimePoint now)
{
    return !endpoint.m_draining && !isEjected(endpoint.m_health, now)
           && endpoint.m_pausedUntil <= now;
}

std::vector<StewardCandidate> candidatesFor(const Steward &steward, const GrantRequest &request,
                                            TimePoint now)
{
    std::vector<StewardCandidate> candidates;
    candidates.reserve(steward.m_endpoints.size());
    for (const auto &[id, endpoint] : steward.m_endpoints) {
        if (!contains(endpoint.m_models, request.m_model))
            continue;
        const bool usable = isUsable(endpoint, now) && !contains(request.m_excluded, id)
                            && !isReservedForOther(steward, id, request.m_request);
        const bool acceptsLong = contains(endpoint.m_longModels, request.m_model);
        candidates.push_back(
            { &endpoint.m_ledger, &endpoint.m_cost, &endpoint.m_prefixes, usable, acceptsLong });
    }
    return candidates;
}

StewardWeights weightsOf(const Steward &steward, const ModelId &model)
{
    const auto known = steward.m_models.find(model);
    return stewardWeights(known == steward.m_models.end() ? RoutingObjective::ShortSlowdown
                                                          : known->second.m_objective);
}

Duration predictDecode(const Steward &steward, const GrantRequest &request,
                       const StewardEndpoint &endpoint)
{
    const auto model = steward.m_models.find(request.m_model);
    const double ratio = model == steward.m_models.end() ? 0.5 : model->second.m_outputRatio;
    const double output = static_cast<double>(request.m_need.m_outputTokens) * ratio;
    const uint32_t batch = endpoint.m_ledger.m_totals.m_decoding + 1;
    return std::chrono::duration_cast<Duration>(predictDecodeStep(endpoint.m_cost, batch) * output);
}

StewardEstimate estimate(const Steward &steward, const GrantRequest &request)
{
    StewardEstimate best;
    for (const auto &[id, endpoint] : steward.m_endpoints) {
        if (!contains(endpoint.m_models, request.m_model))
            continue;
        const auto &need = request.m_need;
        const auto cached =
            std::min(cachedTokens(endpoint.m_prefixes, need.m_prefix), need.m_promptTokens);
        const PrefillWork work{ need.m_promptTokens - cached, cached,
                                endpoint.m_ledger.m_totals.m_decoding };
        const auto prefill = predictPrefill(endpoint.m_cost, work);
        if (prefill < best.m_prefill)
            best = { prefill, prefill + predictDecode(steward, request, endpoint),
                     isLongPrefill(lengthClass(work.m_uncachedTokens)) };
    }
    return best;
}

GrantDecision grantChoice(Steward &steward, const GrantRequest &request,
                          const EndpointId &endpointId, const StewardChoice &choice, TimePoint now)
{
    auto &endpoint = steward.m_endpoints.at(endpointId);
    Grant grant;
    grant.m_id = GrantId(fmt::format("{}:{}", steward.m_idPrefix, ++steward.m_nextGrant));
    grant.m_attempt = request.m_attempt;
    grant.m_customer = request.m_customer;
    grant.m_holder = request.m_holder;
    grant.m_class = lengthClass(choice.m_uncachedTokens);
    grant.m_uncachedTokens = choice.m_uncachedTokens;
    grant.m_cachedTokens = choice.m_cachedTokens;
    grant.m_memoryTokens = request.m_need.m_promptTokens + request.m_need.m_outputTokens;
    grant.m_outputTokens = request.m_need.m_outputTokens;
    grant.m_batch = endpoint.m_ledger.m_totals.m_decoding;
    grant.m_predictedPrefill = choice.m_predictedPrefill;
    grant.m_chunkTime = choice.m_chunkTime;
    grant.m_expiry = now + steward.m_settings.m_grantTtl;
    grant.m_since = now;
    addGrant(endpoint.m_ledger, grant, now);
    steward.m_grants.emplace(grant.m_id, endpointId);
    notePrompt(endpoint.m_prefixes, request.m_need.m_prefix);

    GrantDecision decision;
    decision.m_request = request.m_request;
    decision.m_holder = request.m_holder;
    decision.m_answer = GrantAnswer::Granted;
    decision.m_endpoint = endpointId;
    decision.m_chunkTokens = choice.m_chunkTokens;
    decision.m_predictedTtft = choice.m_predictedTtft;
    decision.m_grant = std::move(grant);
    return decision;
}

tl::expected<StewardPlacement, LedgerRefusal> tryPlace(const Steward &steward,
                                                       const GrantRequest &request, TimePoint now)
{
    const auto candidates = candidatesFor(steward, request, now);
    const auto choice =
        chooseBySteward(candidates, request.m_need, now, weightsOf(steward, request.m_model));
    if (!choice)
        return tl::unexpected(choice.error());
    return StewardPlacement{ candidates[choice->m_index].m_ledger->m_endpoint, *choice };
}

} // namespace stackquay::detail
