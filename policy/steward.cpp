#include "policy/steward.h"

#include <algorithm>

#include "policy/steward_place.h"

namespace stackquay {

namespace {

using FloatSeconds = std::chrono::duration<double>;
using detail::contains;
using detail::StewardEstimate;
using detail::StewardPlacement;

/// Whether any endpoint has free capacity. If not, the waiting requests need not be examined.
bool anyEndpointHasRoom(const Steward &steward, TimePoint now)
{
    return std::any_of(steward.m_endpoints.begin(), steward.m_endpoints.end(), [&](const auto &e) {
        return detail::isUsable(e.second, now) && !checkFits(e.second.m_ledger, {}, now);
    });
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

/// Reserves the endpoint with the most free memory for a request that has waited long for memory.
/// Otherwise smaller requests could starve it.
void reserveMemory(Steward &steward, const GrantRequest &request, TimePoint now)
{
    if (steward.m_reservation || now - request.m_arrived < steward.m_settings.m_reserveMemoryAfter)
        return;
    const auto candidates = detail::candidatesFor(steward, request, now);
    const bool isLong = isLongPrefill(lengthClass(request.m_need.m_promptTokens));
    const uint64_t needed = request.m_need.m_promptTokens + request.m_need.m_outputTokens;
    uint64_t most = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const auto &candidate = candidates[i];
        const auto memory = candidate.m_ledger->m_capacity.m_memoryTokens;
        const auto used = candidate.m_ledger->m_totals.m_memoryTokens;
        const bool mayTake = candidate.m_usable && (candidate.m_acceptsLong || !isLong);
        if (!mayTake || memory < needed || used > memory || memory - used < most)
            continue;
        most = memory - used;
        steward.m_reservation = { candidate.m_ledger->m_endpoint, request.m_request };
    }
}

/// Removes the state of a request that has left the queue, and returns the request.
GrantRequest removeWaiting(Steward &steward, const RequestId &id)
{
    auto waiting = steward.m_waiting.extract(id).mapped();
    if (steward.m_reservation && steward.m_reservation->m_request == id)
        steward.m_reservation.reset();
    const auto model = steward.m_models.find(waiting.m_request.m_model);
    if (model != steward.m_models.end())
        model->second.m_longSet.m_waiting -= waiting.m_longSeconds;
    return std::move(waiting.m_request);
}

/// A kind of prefill that fits on no endpoint now. Other requests of this kind are skipped.
struct FullKind {
    ModelId m_model;
    PrefillKind m_kind;

    bool operator==(const FullKind &) const = default;
};

/// Whether a refusal applies to all requests of the same kind, regardless of their size.
bool appliesToKind(LedgerRefusal refusal)
{
    return refusal != LedgerRefusal::Memory && refusal != LedgerRefusal::TooLong;
}

/// Grants waiting requests in queue order, until none of them fits.
void grantWaiting(Steward &steward, TimePoint now, std::vector<GrantDecision> &decisions)
{
    std::vector<FullKind> full;
    while (!steward.m_queue.empty() && anyEndpointHasRoom(steward, now)) {
        std::optional<StewardPlacement> placement;
        uint32_t visited = 0;
        const auto mayServe = [&](const WaitingRequest &entry) {
            if (++visited > steward.m_settings.m_maxWaitingVisited)
                return false;
            const auto &waiting = steward.m_waiting.at(entry.m_id);
            const auto &request = waiting.m_request;
            const FullKind kind{ request.m_model, waiting.m_kind };
            const bool reserved =
                steward.m_reservation && steward.m_reservation->m_request == entry.m_id;
            if (!reserved && contains(full, kind))
                return false;
            auto outcome = detail::tryPlace(steward, request, now);
            if (outcome) {
                placement = std::move(*outcome);
                return true;
            }
            if (outcome.error() == LedgerRefusal::Memory)
                reserveMemory(steward, request, now);
            if (appliesToKind(outcome.error()) && request.m_excluded.empty())
                full.push_back(kind);
            return false;
        };
        const auto served = steward.m_queue.popIf(mayServe);
        if (!served)
            return;
        const auto request = removeWaiting(steward, served->m_id);
        decisions.push_back(
            detail::grantChoice(steward, request, placement->m_endpoint, placement->m_choice, now));
    }
}

/// Selects the @p size engines that accept the model's long prompts.
void selectLongEngines(Steward &steward, const ModelId &id, StewardModel &model, uint32_t size,
                       TimePoint now)
{
    std::vector<EndpointId> engines;
    for (auto &[endpointId, endpoint] : steward.m_endpoints) {
        std::erase(endpoint.m_longModels, id);
        if (contains(endpoint.m_models, id) && detail::isUsable(endpoint, now))
            engines.push_back(endpointId);
    }
    const auto members = longSetMembers(engines, size);
    for (size_t i = 0; i < engines.size(); ++i) {
        if (members[i])
            steward.m_endpoints.at(engines[i]).m_longModels.push_back(id);
    }
    model.m_engines = static_cast<uint32_t>(engines.size());
    model.m_longEngines = size;
}

uint32_t usableEngines(const Steward &steward, const ModelId &model, TimePoint now)
{
    uint32_t count = 0;
    for (const auto &[id, endpoint] : steward.m_endpoints)
        count += contains(endpoint.m_models, model) && detail::isUsable(endpoint, now);
    return count;
}

/// Resizes the set of engines for long prompts. Its members change only if its size or the number
/// of usable engines does.
void resizeLongSetOf(Steward &steward, const ModelId &id, StewardModel &model, TimePoint now)
{
    const auto engines = usableEngines(steward, id, now);
    const auto size = resizeLongSet(model.m_longSet, engines, now, steward.m_settings.m_longSet);
    if (size != model.m_longEngines || engines != model.m_engines)
        selectLongEngines(steward, id, model, size, now);
}

/// A refusal if the request fits on no endpoint of the shard, even when it is idle.
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
        return makeRefusal(RequestError::PromptTooLong,
                           "prompt and answer exceed the memory of one engine");
    return makeRefusal(RequestError::NoCapacity, "no endpoint of this shard serves the model",
                       Seconds(1));
}

WaitingRequest waitingRequest(const Steward &steward, const GrantRequest &request,
                              const StewardEstimate &estimated)
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

PrefillKind kindOf(const Steward &steward, const GrantRequest &request,
                   const StewardEstimate &estimated)
{
    if (estimated.m_long)
        return PrefillKind::Long;
    return usesChunkedPrefill(detail::weightsOf(steward, request.m_model), estimated.m_prefill)
               ? PrefillKind::Chunked
               : PrefillKind::Unchunked;
}

/// Queues a request. Adds the decisions on it and on a request that it displaces.
void enqueue(Steward &steward, const GrantRequest &request, const StewardEstimate &estimated,
             Duration wait, std::vector<GrantDecision> &decisions)
{
    const auto pushed = steward.m_queue.push(waitingRequest(steward, request, estimated));
    if (!pushed.m_accepted) {
        decisions.push_back(
            refuse(request, makeRefusal(RequestError::QueueFull, "queue is full", wait)));
        return;
    }
    decisions.push_back(notGranted(request, GrantAnswer::Waiting, wait));
    const double longSeconds = estimated.m_long ? FloatSeconds(estimated.m_prefill).count() : 0;
    const auto kind = kindOf(steward, request, estimated);
    steward.m_waiting.emplace(request.m_request, WaitingGrant{ request, kind, longSeconds });
    steward.m_models[request.m_model].m_longSet.m_waiting += longSeconds;
    if (!pushed.m_displaced)
        return;
    const auto displaced = removeWaiting(steward, pushed.m_displaced->m_id);
    decisions.push_back(
        refuse(displaced,
               makeRefusal(RequestError::DisplacedFromQueue,
                           "displaced from the queue by a request that takes precedence", wait)));
}

/// Records the demand of a long request and resizes the set of engines for long prompts.
void noteDemand(Steward &steward, const GrantRequest &request, const StewardEstimate &estimated,
                TimePoint now)
{
    auto &model = steward.m_models[request.m_model];
    recordLongDemand(model.m_longSet, estimated.m_prefill, now, steward.m_settings.m_longSet);
    resizeLongSetOf(steward, request.m_model, model, now);
}

std::optional<Refusal> lateRefusal(const Steward &steward, const GrantRequest &request,
                                   const TimePrediction &prediction, TimePoint now,
                                   RandomEngine &random)
{
    return refuseIfDeadlineUnmeetable(steward.m_settings.m_deadlines, request.m_deadline,
                                      prediction, now, random);
}

/// Queues a request that fits on no endpoint now, unless it may not wait or cannot meet its
/// deadline.
std::vector<GrantDecision> queueOrReject(Steward &steward, const GrantRequest &request,
                                         const StewardEstimate &estimated, TimePoint now,
                                         RandomEngine &random)
{
    std::vector<GrantDecision> decisions;
    const auto wait =
        predictedWait(steward, request.m_customer, request.m_priority, request.m_weight);
    if (auto late = lateRefusal(steward, request, { wait, estimated.m_run }, now, random))
        decisions.push_back(refuse(request, std::move(*late)));
    else if (!request.m_mayWait)
        decisions.push_back(notGranted(request, GrantAnswer::Busy, wait));
    else
        enqueue(steward, request, estimated, wait, decisions);
    return decisions;
}

/// Decides on a new request. Waiting requests that fit have been granted before.
std::vector<GrantDecision> decide(Steward &steward, const GrantRequest &request, TimePoint now,
                                  RandomEngine &random)
{
    const bool mayBeLong = isLongPrefill(lengthClass(request.m_need.m_promptTokens));
    std::optional<StewardEstimate> estimated;
    if (mayBeLong)
        estimated = detail::estimate(steward, request);
    if (mayBeLong && estimated->m_long)
        noteDemand(steward, request, *estimated, now);
    const auto placement = detail::tryPlace(steward, request, now);
    if (!placement)
        return queueOrReject(steward, request,
                             estimated ? *estimated : detail::estimate(steward, request), now,
                             random);
    const auto &endpoint = steward.m_endpoints.at(placement->m_endpoint);
    const auto run =
        placement->m_choice.m_predictedTtft + detail::predictDecode(steward, request, endpoint);
    if (auto late = lateRefusal(steward, request, { Duration::zero(), run }, now, random))
        return { refuse(request, std::move(*late)) };
    return { detail::grantChoice(steward, request, placement->m_endpoint, placement->m_choice,
                                 now) };
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
    grantWaiting(steward, now, decisions);
    auto own = decide(steward, request, now, random);
    decisions.insert(decisions.begin(), std::make_move_iterator(own.begin()),
                     std::make_move_iterator(own.end()));
    return decisions;
}

bool cancelWaiting(Steward &steward, const RequestId &request)
{
    if (!steward.m_waiting.contains(request))
        return false;
    steward.m_queue.remove(request);
    removeWaiting(steward, request);
    return true;
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
        for (const auto &grant : releaseExpired(endpoint.m_ledger, now))
            steward.m_grants.erase(grant.m_id);
    }
    for (const auto &late : steward.m_queue.expire(now)) {
        const auto request = removeWaiting(steward, late.m_id);
        decisions.push_back(refuse(
            request, makeRefusal(RequestError::DeadlineUnmeetable,
                                 "could not start in time to meet the deadline", Seconds(1))));
    }
    for (auto &[id, model] : steward.m_models)
        resizeLongSetOf(steward, id, model, now);
    grantWaiting(steward, now, decisions);
    return decisions;
}

} // namespace stackquay
