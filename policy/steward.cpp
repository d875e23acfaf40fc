#include "policy/steward.h"

#include <algorithm>

#include <fmt/format.h>

#include "policy/chunking.h"

namespace stackquay {

namespace {

using FloatSeconds = std::chrono::duration<double>;

bool contains(const auto &range, const auto &value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

/// The endpoints of one model, as the choice wants them, and their keys in the same order.
struct Candidates {
    std::vector<StewardCandidate> m_list;
    std::vector<EndpointId> m_ids;
};

bool isUsable(const StewardEndpoint &endpoint, TimePoint now)
{
    return !endpoint.m_draining && !isEjected(endpoint.m_health, now)
           && endpoint.m_pausedUntil <= now;
}

bool isReservedForOther(const Steward &steward, const EndpointId &endpoint,
                        const RequestId &request)
{
    const auto &reserved = steward.m_reservation;
    return reserved && reserved->m_endpoint == endpoint && reserved->m_request != request;
}

Candidates candidatesFor(const Steward &steward, const GrantRequest &request, TimePoint now)
{
    Candidates candidates;
    candidates.m_list.reserve(steward.m_endpoints.size());
    const auto model = steward.m_models.find(request.m_model);
    for (const auto &[id, endpoint] : steward.m_endpoints) {
        if (!contains(endpoint.m_models, request.m_model))
            continue;
        const bool acceptsLong =
            model == steward.m_models.end() || contains(model->second.m_longMembers, id);
        const bool usable = isUsable(endpoint, now) && !contains(request.m_excluded, id)
                            && !isReservedForOther(steward, id, request.m_request);
        candidates.m_list.push_back(
            { &endpoint.m_ledger, &endpoint.m_cost, &endpoint.m_prefixes, usable, acceptsLong });
        candidates.m_ids.push_back(id);
    }
    return candidates;
}

StewardWeights weightsOf(const Steward &steward, const ModelId &model)
{
    const auto known = steward.m_models.find(model);
    return stewardWeights(known == steward.m_models.end() ? RoutingObjective::ShortSlowdown
                                                          : known->second.m_objective);
}

/// What a request is expected to take, on the endpoint that would do it fastest.
struct Estimate {
    Duration m_prefill = Duration::max();
    Duration m_run{};
    uint64_t m_uncachedTokens = 0;
};

Estimate estimate(const Steward &steward, const GrantRequest &request)
{
    Estimate best;
    const auto model = steward.m_models.find(request.m_model);
    const double ratio = model == steward.m_models.end() ? 0.5 : model->second.m_outputRatio;
    const double output = static_cast<double>(request.m_need.m_outputTokens) * ratio;
    for (const auto &[id, endpoint] : steward.m_endpoints) {
        if (!contains(endpoint.m_models, request.m_model))
            continue;
        const auto &need = request.m_need;
        const auto cached =
            std::min(cachedTokens(endpoint.m_prefixes, need.m_prefix), need.m_promptTokens);
        const uint32_t batch = endpoint.m_ledger.m_totals.m_decoding;
        const PrefillWork work{ need.m_promptTokens - cached, cached, batch };
        const auto prefill = predictPrefill(endpoint.m_cost, work);
        if (prefill >= best.m_prefill)
            continue;
        const auto decode = predictDecodeStep(endpoint.m_cost, batch + 1) * output;
        best = { prefill, prefill + std::chrono::duration_cast<Duration>(decode),
                 work.m_uncachedTokens };
    }
    return best;
}

/// Whether any endpoint has room at all: false saves the look at every waiting request.
bool anyOpen(const Steward &steward, TimePoint now)
{
    return std::any_of(steward.m_endpoints.begin(), steward.m_endpoints.end(), [&](const auto &e) {
        return isUsable(e.second, now) && !checkFits(e.second.m_ledger, {}, now);
    });
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
    grant.m_blocking = choice.m_blocking;
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

GrantDecision refuse(const GrantRequest &request, Refusal refusal)
{
    GrantDecision decision;
    decision.m_request = request.m_request;
    decision.m_holder = request.m_holder;
    decision.m_answer = GrantAnswer::Refused;
    decision.m_refusal = std::move(refusal);
    return decision;
}

Refusal makeRefusal(RequestError error, std::string message, Duration retryAfter = {})
{
    return { error, Outcome::RefusedNotRun, std::move(message), retryAfter };
}

tl::expected<GrantDecision, LedgerRefusal> tryGrant(Steward &steward, const GrantRequest &request,
                                                    TimePoint now)
{
    const auto candidates = candidatesFor(steward, request, now);
    const auto choice = chooseBySteward(candidates.m_list, request.m_need, now,
                                        weightsOf(steward, request.m_model));
    if (!choice)
        return tl::unexpected(choice.error());
    return grantChoice(steward, request, candidates.m_ids[choice->m_index], *choice, now);
}

/// Keeps the endpoint with the most free memory for a request that has long waited for memory, as
/// smaller ones would take it again and again.
void reserveMemory(Steward &steward, const GrantRequest &request, TimePoint now)
{
    if (steward.m_reservation || now - request.m_arrived < steward.m_settings.m_reserveAfter)
        return;
    const auto candidates = candidatesFor(steward, request, now);
    const bool isLong = isLongPrefill(lengthClass(request.m_need.m_promptTokens));
    const uint64_t needed = request.m_need.m_promptTokens + request.m_need.m_outputTokens;
    uint64_t most = 0;
    for (size_t i = 0; i < candidates.m_list.size(); ++i) {
        const auto &candidate = candidates.m_list[i];
        const auto memory = candidate.m_ledger->m_capacity.m_memoryTokens;
        const auto used = candidate.m_ledger->m_totals.m_memoryTokens;
        const bool mayTake = candidate.m_usable && (candidate.m_acceptsLong || !isLong);
        if (!mayTake || memory < needed || used > memory || memory - used < most)
            continue;
        most = memory - used;
        steward.m_reservation = { candidates.m_ids[i], request.m_request };
    }
}

void endReservation(Steward &steward, const RequestId &request)
{
    if (steward.m_reservation && steward.m_reservation->m_request == request)
        steward.m_reservation.reset();
}

/// Grants to waiting requests in order, until none of them fits. Without room for one long prefill
/// there is none for another, so those are not tried again.
void grantWaiting(Steward &steward, TimePoint now, std::vector<GrantDecision> &decisions)
{
    std::vector<ModelId> noLongRoom;
    while (!steward.m_queue.empty() && anyOpen(steward, now)) {
        std::optional<GrantDecision> granted;
        uint32_t visited = 0;
        const auto mayServe = [&](const WaitingRequest &waiting) {
            if (++visited > steward.m_settings.m_maxVisited)
                return false;
            const auto &request = steward.m_waiting.at(waiting.m_id);
            const bool isLong = isLongPrefill(lengthClass(request.m_need.m_promptTokens));
            if (isLong && contains(noLongRoom, request.m_model))
                return false;
            auto outcome = tryGrant(steward, request, now);
            if (!outcome) {
                if (outcome.error() == LedgerRefusal::LongPrefill)
                    noLongRoom.push_back(request.m_model);
                if (outcome.error() == LedgerRefusal::Memory)
                    reserveMemory(steward, request, now);
                return false;
            }
            granted = std::move(*outcome);
            return true;
        };
        const auto served = steward.m_queue.popIf(mayServe);
        if (!served)
            return;
        steward.m_waiting.erase(served->m_id);
        endReservation(steward, served->m_id);
        decisions.push_back(std::move(*granted));
    }
}

void updateLongMembers(Steward &steward, const ModelId &id, StewardModel &model, TimePoint now)
{
    std::vector<EndpointId> engines;
    for (const auto &[endpointId, endpoint] : steward.m_endpoints) {
        if (contains(endpoint.m_models, id) && isUsable(endpoint, now))
            engines.push_back(endpointId);
    }
    const auto size = resizeLongSet(model.m_longSet, static_cast<uint32_t>(engines.size()), now,
                                    steward.m_settings.m_longSet);
    const auto members = longSetMembers(engines, size);
    model.m_longMembers.clear();
    for (size_t i = 0; i < engines.size(); ++i) {
        if (members[i])
            model.m_longMembers.push_back(engines[i]);
    }
}

/// Refusals that no waiting can mend.
std::optional<Refusal> finalRefusal(const Steward &steward, const GrantRequest &request)
{
    bool served = false;
    for (const auto &[id, endpoint] : steward.m_endpoints) {
        if (!contains(endpoint.m_models, request.m_model))
            continue;
        served = true;
        const auto memory = endpoint.m_ledger.m_capacity.m_memoryTokens;
        const auto needed = request.m_need.m_promptTokens + request.m_need.m_outputTokens;
        if (memory == 0 || needed <= memory)
            return std::nullopt;
    }
    if (served)
        return makeRefusal(RequestError::PromptTooLong, "longer than one engine's memory");
    return makeRefusal(RequestError::NoCapacity, "no endpoint here serves the model", Seconds(1));
}

WaitingRequest waitingRequest(const Steward &steward, const GrantRequest &request,
                              const Estimate &estimated)
{
    WaitingRequest waiting;
    waiting.m_id = request.m_request;
    waiting.m_customer = request.m_customer;
    waiting.m_priority = request.m_priority;
    waiting.m_weight = request.m_weight;
    waiting.m_cost = std::max(1e-6, FloatSeconds(estimated.m_prefill).count());
    waiting.m_arrived = request.m_arrived;
    waiting.m_deadline = request.m_deadline;
    waiting.m_startBy =
        latestStart(steward.m_settings.m_deadlines, request.m_deadline, estimated.m_run);
    return waiting;
}

GrantDecision notGranted(const GrantRequest &request, GrantAnswer answer, Duration wait)
{
    GrantDecision decision;
    decision.m_request = request.m_request;
    decision.m_holder = request.m_holder;
    decision.m_answer = answer;
    decision.m_predictedWait = wait;
    return decision;
}

/// Puts a request into the queue, telling what follows for it and for one that it displaces.
void enqueue(Steward &steward, const GrantRequest &request, const Estimate &estimated,
             Duration wait, std::vector<GrantDecision> &decisions)
{
    const auto pushed = steward.m_queue.push(waitingRequest(steward, request, estimated));
    if (!pushed.m_accepted) {
        decisions.push_back(
            refuse(request, makeRefusal(RequestError::QueueFull, "queue is full", wait)));
        return;
    }
    decisions.push_back(notGranted(request, GrantAnswer::Waiting, wait));
    steward.m_waiting.emplace(request.m_request, request);
    if (!pushed.m_displaced)
        return;
    endReservation(steward, pushed.m_displaced->m_id);
    const auto displaced = steward.m_waiting.extract(pushed.m_displaced->m_id);
    decisions.push_back(
        refuse(displaced.mapped(), makeRefusal(RequestError::DisplacedFromQueue,
                                               "gave way to a request that goes first", wait)));
}

/// Decides on a new request, once all that wait and fit have been granted.
std::vector<GrantDecision> decide(Steward &steward, const GrantRequest &request,
                                  const Estimate &estimated, TimePoint now, RandomEngine &random)
{
    std::vector<GrantDecision> decisions;
    const auto &deadlines = steward.m_settings.m_deadlines;
    TimePrediction prediction{ Duration::zero(), estimated.m_run };
    if (auto late = refuseIfLate(deadlines, request.m_deadline, prediction, now, random)) {
        decisions.push_back(refuse(request, std::move(*late)));
        return decisions;
    }
    if (auto granted = tryGrant(steward, request, now)) {
        decisions.push_back(std::move(*granted));
        return decisions;
    }
    prediction.m_wait =
        predictedWait(steward, request.m_customer, request.m_priority, request.m_weight);
    if (auto late = refuseIfLate(deadlines, request.m_deadline, prediction, now, random)) {
        decisions.push_back(refuse(request, std::move(*late)));
        return decisions;
    }
    if (!request.m_mayWait) {
        decisions.push_back(notGranted(request, GrantAnswer::Busy, prediction.m_wait));
        return decisions;
    }
    enqueue(steward, request, estimated, prediction.m_wait, decisions);
    return decisions;
}

/// Notes what a long request asks for, and sizes the long set by it.
void noteDemand(Steward &steward, const GrantRequest &request, const Estimate &estimated,
                TimePoint now)
{
    auto &model = steward.m_models[request.m_model];
    if (isLongPrefill(lengthClass(estimated.m_uncachedTokens)))
        noteLongDemand(model.m_longSet, estimated.m_prefill, now, steward.m_settings.m_longSet);
    updateLongMembers(steward, request.m_model, model, now);
}

} // namespace

Steward makeSteward(std::string idPrefix, const StewardSettings &settings)
{
    Steward steward;
    steward.m_settings = settings;
    steward.m_idPrefix = std::move(idPrefix);
    steward.m_queue = FairQueue(settings.m_queue);
    return steward;
}

void setObjective(Steward &steward, const ModelId &model, RoutingObjective objective)
{
    steward.m_models[model].m_objective = objective;
}

Duration predictedWait(const Steward &steward, const CustomerId &customer, int priority,
                       double weight)
{
    size_t engines = 0;
    for (const auto &[id, endpoint] : steward.m_endpoints)
        engines += endpoint.m_draining ? 0 : 1;
    const double ahead = steward.m_queue.fairCostAhead(customer, priority, weight);
    const FloatSeconds wait(ahead / static_cast<double>(std::max<size_t>(1, engines)));
    return std::chrono::duration_cast<Duration>(wait);
}

std::vector<GrantDecision> requestGrant(Steward &steward, const GrantRequest &request,
                                        TimePoint now, RandomEngine &random)
{
    std::vector<GrantDecision> decisions;
    if (steward.m_waiting.contains(request.m_request)) {
        decisions.push_back(notGranted(request, GrantAnswer::Waiting, {}));
        return decisions;
    }
    if (auto refusal = finalRefusal(steward, request)) {
        decisions.push_back(refuse(request, std::move(*refusal)));
        return decisions;
    }
    const auto estimated = estimate(steward, request);
    noteDemand(steward, request, estimated, now);
    grantWaiting(steward, now, decisions);
    auto own = decide(steward, request, estimated, now, random);
    decisions.insert(decisions.begin(), std::make_move_iterator(own.begin()),
                     std::make_move_iterator(own.end()));
    return decisions;
}

bool cancelWaiting(Steward &steward, const RequestId &request)
{
    steward.m_queue.remove(request);
    endReservation(steward, request);
    return steward.m_waiting.erase(request) != 0;
}

std::vector<GrantDecision> grantWaiting(Steward &steward, TimePoint now)
{
    std::vector<GrantDecision> decisions;
    grantWaiting(steward, now, decisions);
    return decisions;
}

std::vector<GrantDecision> expire(Steward &steward, TimePoint now)
{
    std::vector<GrantDecision> decisions;
    for (auto &[id, endpoint] : steward.m_endpoints) {
        for (const auto &grant : sweepExpired(endpoint.m_ledger, now))
            steward.m_grants.erase(grant.m_id);
    }
    for (const auto &late : steward.m_queue.expire(now)) {
        endReservation(steward, late.m_id);
        const auto request = steward.m_waiting.extract(late.m_id);
        decisions.push_back(
            refuse(request.mapped(),
                   makeRefusal(RequestError::DeadlineUnmeetable,
                               "could not begin in time to meet the deadline", Seconds(1))));
    }
    for (auto &[id, model] : steward.m_models)
        updateLongMembers(steward, id, model, now);
    grantWaiting(steward, now, decisions);
    return decisions;
}

} // namespace stackquay
