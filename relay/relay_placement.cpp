/// Part of RelayRun: when a request may begin, and on which endpoints it is placed.
#include <algorithm>
#include <utility>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// Period of the checks whether a request may begin: a tenth of the usual prefill part of a long
/// prompt.
constexpr Millis TurnPoll{ 12 };

/// A draining VM accepts a request only if this multiple of its expected time is left: responses
/// vary in length, and engines pause streams for the prefill of other prompts.
constexpr double ExpectedSlack = 2;

} // namespace

std::vector<EndpointRecord> RelayRun::candidates() const
{
    // The current view: endpoints may have left since the request arrived.
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    if (!pool)
        return {};
    std::vector<EndpointRecord> untried;
    for (const EndpointRecord &endpoint : *pool) {
        if (m_triedEndpoints.count(endpoint.m_id) == 0 && m_node.m_limiter.maySend(*view, endpoint))
            untried.push_back(endpoint);
    }
    std::vector<EndpointRecord> active;
    std::copy_if(untried.begin(), untried.end(), std::back_inserter(active),
                 [this](const EndpointRecord &endpoint) {
                     return m_silentEndpoints.count(endpoint.m_id) == 0;
                 });
    // Beside a silent attempt, an attempt at a silent endpoint is of no use.
    if (!active.empty() || !m_standbys.empty())
        untried = std::move(active);
    return healthyEndpoints(m_node.m_ejections, std::move(untried), Clock::now());
}

RelayRun::PoolState RelayRun::poolState() const
{
    PoolState seen;
    seen.m_uses = m_node.m_ledger.uses(Clock::now());
    seen.m_view = m_node.m_view.load();
    seen.m_all = poolOf(*seen.m_view, m_serviceId);
    if (!isModelRequest() || !seen.m_all)
        return seen;
    const auto isRestricted = [this](const EndpointRecord &endpoint) {
        return m_node.m_limiter.isRestricted(endpoint);
    };
    if (m_node.m_limiter.restrictsAny())
        std::remove_copy_if(seen.m_all->begin(), seen.m_all->end(),
                            std::back_inserter(seen.m_unlimited), isRestricted);
    seen.m_strictSide =
        m_node.strictSide(m_serviceId, *m_service->m_engine, seen.schedulable(), seen.m_uses);
    if (seen.m_unlimited.empty())
        return seen;
    seen.m_answersStrict = seen.m_strictSide;
    for (const EndpointRecord &endpoint : *seen.m_all) {
        if (m_node.m_limiter.namesRate(endpoint.m_id))
            seen.m_answersStrict.insert(endpoint.m_id);
    }
    return seen;
}

std::optional<GangPlan> RelayRun::choosePlan(DisruptionPolicy care, const PoolState &seen)
{
    const std::vector<EndpointRecord> pool = candidates();
    const auto reachable = reachableEndpoints(pool, m_unreachable);
    auto plan = planAmong(reachable, care, seen);
    if (!plan && reachable.size() < pool.size())
        plan = planAmong(pool, care, seen);
    return plan;
}

std::optional<GangPlan> RelayRun::planAmong(const std::vector<EndpointRecord> &pool,
                                            DisruptionPolicy care, const PoolState &seen)
{
    const auto places =
        m_node.m_suspects.eligibleEndpoints(m_suspectHandling, pool, m_node.m_ledger);
    auto plan = planWithin(places, care, seen);
    // Prefers an endpoint with other suspects to none: most suspects are harmless.
    if (!plan && m_suspectHandling == SuspectHandling::Separate && places.size() < pool.size())
        plan = planWithin(pool, care, seen);
    return plan;
}

std::optional<GangPlan> RelayRun::planWithin(const std::vector<EndpointRecord> &pool,
                                             DisruptionPolicy care, const PoolState &seen)
{
    const DataCentreId &here = m_node.m_settings.m_dataCentre;
    if (!isModelRequest()) {
        const EndpointRecord *best = leastLoaded(pool, seen.m_uses, here);
        if (!best)
            return std::nullopt;
        return GangPlan{ { { *best, 0, 0, false } }, FloatMillis(0) };
    }
    const EngineCosts &costs = *m_service->m_engine;
    const ModelRequest request = modelRequest();
    GangQuery question = gangQueryOf(m_node.m_turns, costs, request, care, poolShape());
    question.m_candidateQuery.m_dataCentre = here;
    question.m_candidateQuery.m_drawJitter = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_node.m_random);
    };
    return planGang(m_node.m_gang, costs, splitPool(pool, seen.answersStrict(), request.strict()),
                    seen.m_uses, question);
}

bool RelayRun::isModelRequest() const
{
    return m_service && m_service->m_engine && m_head.m_promptTokens > 0;
}

ModelRequest RelayRun::modelRequest() const
{
    ModelRequest request;
    request.m_promptTokens = static_cast<double>(m_head.m_promptTokens);
    request.m_answerTokens =
        answerTokensLeft(static_cast<double>(m_service->m_engine->m_usualAnswerTokens));
    request.m_gapLimitMs = gapLimitMs();
    request.m_arrival = m_arrival;
    request.m_leavesAt = silentSince() + m_route->m_clientPatience;
    request.m_deadline = m_deadline;
    request.m_returnOf = m_returnOf;
    return request;
}

double RelayRun::answerTokensLeft(double expected) const
{
    const EngineCosts &costs = *m_service->m_engine;
    const auto limit = static_cast<double>(m_head.m_answerTokens);
    const double answer = limit > 0 ? std::min(expected, limit) : expected;
    // Each event holds the tokens of one pass. The last one may be still to come.
    const double stride = costs.m_stride;
    const double received = static_cast<double>(m_lastEvent.value_or(0)) * stride;
    return std::max(answer - received, std::min(answer, stride));
}

SideLoad RelayRun::sideLoad(const PoolState &seen) const
{
    if (!seen.m_all)
        return {};
    return m_node.sideLoad(*m_service, seen.schedulable(), seen.m_strictSide, seen.m_uses,
                           isStrict());
}

size_t RelayRun::poolSize() const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    if (!pool)
        return 0;
    if (!m_node.m_limiter.restrictsAny())
        return pool->size();
    const auto limited = static_cast<size_t>(
        std::count_if(pool->begin(), pool->end(), [this](const EndpointRecord &endpoint) {
            return m_node.m_limiter.isRestricted(endpoint);
        }));
    return limited < pool->size() ? pool->size() - limited : pool->size();
}

PoolSize RelayRun::poolShape() const
{
    return { poolSize(), m_node.passPrefill(*m_service) };
}

Duration RelayRun::timeToComplete(double slack) const
{
    if (!isModelRequest()) {
        const auto usual = m_node.m_responseTimes[m_serviceId].mean();
        return usual ? std::chrono::duration_cast<Duration>(*usual * slack)
                     : m_deadline - m_arrival;
    }
    const EngineCosts &costs = *m_service->m_engine;
    const auto usual = static_cast<double>(costs.m_usualAnswerTokens);
    const auto limit = static_cast<double>(m_head.m_answerTokens);
    const FloatMillis needed =
        expectedFirstEvent(m_node.m_turns, costs, modelRequest(), poolShape());
    // With slack, the request's token limit; without, the usual length.
    const double answer = answerTokensLeft(slack > 1 && limit > 0 ? limit : usual * slack);
    return std::chrono::duration_cast<Duration>(needed * slack + decodeDuration(costs, answer));
}

RequestDuration RelayRun::timeNeeded() const
{
    const Duration most = m_deadline - m_arrival;
    return { std::min(timeToComplete(ExpectedSlack), most), most };
}

bool RelayRun::cannotFinishInDrain() const
{
    // A request that may have run is finished here: only this VM can still answer it.
    if (possibleRuns() > 0 || m_streaming)
        return false;
    const RelayViewPtr view = m_node.m_view.load();
    if (!isDraining(view->m_drain))
        return false;
    constexpr double NoSlack = 1;
    return !canFinishInGrace(view->m_drain, Clock::now(),
                             std::min(timeToComplete(NoSlack), remainingTime()));
}

uint64_t RelayRun::usageCustomer() const
{
    // Use is counted in prefill time, and strict streams compete for slots.
    const bool counts = isModelRequest() && !m_customer.empty() && !isStrict();
    return counts ? partCustomerHash(m_customer) : 0;
}

QueuedRequest RelayRun::queuedRequest() const
{
    QueuedRequest queued =
        queuedRequestOf(m_node.m_turns, *m_service->m_engine, modelRequest(), poolShape());
    OrderQuery query;
    query.m_rank = m_urgency;
    query.m_ranks = m_service->m_ranks;
    if (const uint64_t customer = usageCustomer())
        query.m_usageRatio = m_node.m_usage.ratio(customer, Clock::now());
    delayInOrder(queued, queued.m_latestStart - silentSince(), query);
    return queued;
}

DispatchDecision RelayRun::checkTurn(TurnWait &wait)
{
    const ModelRequest request = modelRequest();
    const TimePoint now = Clock::now();
    const EngineCosts &costs = *m_service->m_engine;
    const PoolState seen = poolState();
    const SideLoad side = sideLoad(seen);
    const bool next = poolSize() == 0
                      || mayStartNext(m_node.m_turns, costs, request, m_node.queueOf(gapLimitMs()),
                                      m_attempt.m_loadKey, side, now);
    const auto plan = [this, &seen](DisruptionPolicy care) { return choosePlan(care, seen); };
    TurnMonitor &turns = m_node.m_turnMonitor;
    const Duration turn = turns.predictTurn(m_attempt.m_loadKey, costs, request, side, now);
    const bool first = !std::exchange(wait.m_turn, turn);
    if (first)
        wait.m_turnOnArrival = turn;
    // What would only be refused later is refused at once.
    return decideStart(m_node.m_turns, costs, request, wait.m_queued, next,
                       first ? turns.latestTurn(turn, isStrict()) : turn, plan, now);
}

void RelayRun::claimPlace()
{
    TurnMonitor &turns = m_node.m_turnMonitor;
    if (m_returnOf || !turns.hasPlaces(isStrict()))
        return;
    const ReturnPlace *place = turns.findPlace(fingerprint(), isStrict(), m_arrival);
    if (!place || !TurnMonitor::isDue(*place, m_arrival))
        return;
    m_returnOf = place->m_firstArrival;
    turns.takePlace(fingerprint(), isStrict());
    m_node.m_metrics.m_returns.add();
}

void RelayRun::adviseReturn(const TurnWait &wait)
{
    const TimePoint now = Clock::now();
    const ReturnPlace *place = m_node.m_turnMonitor.findPlace(fingerprint(), isStrict(), now);
    if (place && !TurnMonitor::isDue(*place, now)) {
        m_node.m_metrics.m_earlyReturns.add();
        m_returnAdvice = { place->m_dueAt - now, true };
        return;
    }
    constexpr double NoSlack = 1;
    const ReturnQuery query{ now, m_deadline, *wait.m_turn, timeToComplete(NoSlack) };
    ReturnPlace request;
    request.m_request = fingerprint();
    request.m_firstArrival = m_returnOf.value_or(m_arrival);
    request.m_workMs = wait.m_queued.m_workMs;
    m_returnAdvice = m_node.m_turnMonitor.refuse(query, request, isStrict());
    if (m_returnAdvice->m_keepsPlace)
        m_node.m_metrics.m_placesKept.add();
}

std::optional<GangPlan> RelayRun::awaitTurn()
{
    if (!isModelRequest())
        return choosePlan(DisruptionPolicy::Avoid, poolState());
    claimPlace();
    TurnWait wait;
    wait.m_queued = queuedRequest();
    const QueuedRequest &queued = wait.m_queued;
    m_node.queueOf(gapLimitMs())[m_attempt.m_loadKey] = queued;
    bool announced = false;
    for (;;) {
        // Refused now if it cannot finish in time, so that another VM can still serve it.
        const bool cannotFinish = m_node.m_stopping || cannotFinishInDrain();
        if (!cannotFinish) {
            DispatchDecision now = checkTurn(wait);
            if (now.m_plan)
                return std::move(now.m_plan);
            if (now.m_tooLate) {
                m_failureReason = dispatchObstacleMessage(now.m_obstacle);
                // One that may have run is not answered with a refusal.
                if (possibleRuns() == 0)
                    adviseReturn(wait);
                (announced ? m_node.m_metrics.m_refusedLater : m_node.m_metrics.m_refusedOnArrival)
                    .add();
                logTooLate(wait);
                return std::nullopt;
            }
        }
        if (isEvacuated()) {
            m_failureReason = EvacuatedReason;
            return std::nullopt;
        }
        if (isBlockedBeyond(queued.m_latestStart) && noteLimited())
            return std::nullopt;
        if (!announced)
            m_node.announceWaiting(m_attempt.m_loadKey, gapLimitMs(), queued, wait.m_turnOnArrival);
        announced = true;
        if (cannotFinish || !sleepFor(m_node.m_thread.context(), TurnPoll) || isCancelled()
            || remainingTime() <= TurnPoll) {
            m_failureReason = "waited for its turn";
            return std::nullopt;
        }
    }
}

void RelayRun::logTooLate(const TurnWait &wait) const
{
    const auto millis = [](Duration duration) {
        return std::chrono::duration_cast<Millis>(duration).count();
    };
    const TimePoint now = Clock::now();
    const SideLoad load = sideLoad(poolState());
    const DispatchQueue &queue = m_node.queueOf(gapLimitMs());
    DecisionLine line("relay", "too late to begin");
    line.text("request", m_head.m_id.str())
        .text("why", m_failureReason)
        .number("tokens", static_cast<int64_t>(m_head.m_promptTokens))
        .number("wait_ms", millis(now - m_arrival))
        .number("latest_start_ms", millis(wait.m_queued.m_latestStart - m_arrival))
        .number("leaves_ms", millis(silentSince() + m_route->m_clientPatience - m_arrival))
        .number("deadline_ms", millis(m_deadline - m_arrival))
        .number("ahead", positionOf(queue, m_attempt.m_loadKey, now).m_requestsAhead)
        .number("waiting", static_cast<int64_t>(queue.size()))
        .number("engines", static_cast<int64_t>(load.m_engines))
        .number("reading", load.m_activePrefills.m_prompts)
        .number("read_ms", static_cast<int64_t>(load.m_activePrefills.m_prefillMs));
    if (m_returnAdvice) {
        line.number("expected_engines", static_cast<int64_t>(load.m_expectedEngines))
            .number("turn_ms", millis(*wait.m_turn))
            .number("latest_turn_ms",
                    millis(m_node.m_turnMonitor.latestTurn(*wait.m_turn, isStrict())))
            .number("share",
                    static_cast<int64_t>(m_node.m_turnMonitor.rateShare(isStrict()) * 1'000))
            .number("retry_ms", m_returnAdvice->m_delay ? millis(*m_returnAdvice->m_delay) : -1)
            .flag("place", m_returnAdvice->m_keepsPlace)
            .flag("returned", m_returnOf.has_value());
    }
    line.write();
}

void RelayRun::logPlacement(const GangPlan &plan) const
{
    const GangMember &first = plan.m_members.front();
    DecisionLine("relay", "placed")
        .text("request", m_head.m_id.str())
        .number("attempt", static_cast<int64_t>(m_sent.size()) + 1)
        .text("endpoint", first.m_endpoint.m_id.str())
        .number("width", static_cast<int64_t>(plan.m_members.size()))
        .number("part_ms", static_cast<int64_t>(first.m_prefillMs))
        .number("predicted_ms", static_cast<int64_t>(plan.m_firstEvent.count()))
        .number("spoilt", plan.m_disruptedStreams)
        .number("wait_ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .number("in_flight", static_cast<int64_t>(m_node.m_ledger.size()))
        .number("tried", static_cast<int64_t>(m_triedEndpoints.size()))
        .flag("suspect", m_suspectHandling != SuspectHandling::None)
        .write();
}

} // namespace stackquay
