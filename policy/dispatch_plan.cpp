#include "policy/dispatch_plan.h"

#include <algorithm>

namespace stackquay {

namespace {

bool meetsTarget(const DispatchSettings &settings, const ModelRequest &request,
                 const QueuedRequest &queued, const GangPlan &plan, TimePoint now)
{
    // With a forecast, a prompt is refused if it is not started in its turn, and waiting gains it
    // nothing: large ones would block the queue until their latest start.
    const double margin = request.m_forecastsTurn ? 1 : settings.m_predictionMargin;
    // A strict stream waits only for a slot, and a retry is sent even if it will be late.
    return request.strict() || request.m_isRetry
           || isInTime(queued, plan.m_firstEvent * margin, now);
}

DispatchDecision planIfNext(const DispatchSettings &settings, const ModelRequest &request,
                            const QueuedRequest &queued, bool next, const GangPlanner &plan,
                            TimePoint now)
{
    if (!next)
        return { std::nullopt, DispatchObstacle::BehindOthers };
    auto planned = plan(DisruptionPolicy::Avoid);
    if (!planned)
        return { std::nullopt, DispatchObstacle::NoEligibleEngines };
    if (!meetsTarget(settings, request, queued, *planned, now))
        return { std::nullopt, DispatchObstacle::EnginesBusy };
    return { std::move(planned) };
}

/// A plan for a request that would otherwise be late, if it disrupts few streams.
std::optional<GangPlan> disruptivePlan(const DispatchSettings &settings, const EngineCosts &costs,
                                       const ModelRequest &request, const QueuedRequest &queued,
                                       const GangPlanner &plan, TimePoint now)
{
    if (request.strict())
        return std::nullopt;
    auto planned = plan(DisruptionPolicy::Permit);
    const bool costly =
        planned && planned->m_disruptedStreams > settings.m_maxDisruptedShare * costs.m_slots;
    if (!planned || costly || !isInTime(queued, planned->m_firstEvent, now))
        return std::nullopt;
    return planned;
}

/// Whether the request has to be started by disruption or refused, because waiting longer would
/// miss its latency target.
bool cannotWaitLonger(const ModelRequest &request, const QueuedRequest &queued, TimePoint now)
{
    // A retry usually misses its latency target, so only the caller's patience limits it.
    return request.m_isRetry ? now >= queued.m_expiresAt : isTooLate(queued, now);
}

/// The time until the turn of a waiting request that decides whether it is refused.
Duration turnToRefuseBy(const ModelRequest &request, bool justArrived, const TurnOutlook &outlook)
{
    if (!request.m_returnOf)
        return justArrived ? outlook.m_turn + outlook.m_margin : outlook.m_turn;
    // One that came back when told to is refused at once, if its turn will come too late even if it
    // comes as much earlier as others came later; otherwise it waits as long as it can.
    if (!justArrived)
        return Duration::zero();
    return outlook.m_turn - std::max(outlook.m_margin, Duration::zero());
}

} // namespace

FloatMillis minTimeToFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                                const ModelRequest &request, size_t engines)
{
    if (request.strict())
        return prefillDuration(costs, request.m_promptTokens) + settings.m_strictFirstEventTime;
    return longPromptFirstEvent(settings, costs, request.m_promptTokens, engines);
}

QueuedRequest queuedRequestOf(const DispatchSettings &settings, const EngineCosts &costs,
                              const ModelRequest &request, size_t engines)
{
    const auto part = [](FloatMillis of, double share) {
        return std::chrono::duration_cast<Duration>(of * share);
    };
    const FloatMillis toBegin = minTimeToFirstEvent(settings, costs, request, engines);
    const Duration needed = part(toBegin, 1);
    QueuedRequest queued;
    queued.m_targetAt = request.m_arrival + request.m_latencyTarget;
    queued.m_minTimeToFirstEvent = needed;
    queued.m_expiresAt =
        request.m_arrival
        + std::min(part(request.m_patience, settings.m_patienceShare),
                   part(request.m_deadline - request.m_arrival, settings.m_deadlineShare));
    if (!request.strict())
        queued.m_workMs = prefillDuration(costs, request.m_promptTokens).count();
    const Duration reading =
        part(toBegin - settings.m_prefillOverhead, settings.m_predictionMargin);
    if (request.m_returnOf)
        queued.m_orderLead = request.m_arrival - *request.m_returnOf;
    if (request.strict())
        return queued;
    if (request.m_forecastsTurn) {
        queued.m_orderLead += std::max(reading, Duration::zero());
        if (!request.m_returnOf)
            return queued;
        // A prompt that needs more than one engine's memory, and came back, may wait as long as one
        // that just fits, though it will be late. Otherwise the largest would be refused again.
        const double fitting =
            std::min(request.m_promptTokens, static_cast<double>(costs.m_memoryTokens));
        const Duration late =
            needed - part(longPromptFirstEvent(settings, costs, fitting, engines), 1);
        queued.m_targetAt += late;
        queued.m_orderLead += late;
        return queued;
    }
    // Prompts of all sizes are refused after the same wait: small ones while they could still be
    // in time, large ones when they no longer can.
    const Duration wait = part(request.m_latencyTarget, settings.m_maxWaitShare);
    const Duration past = std::max(wait + needed - request.m_latencyTarget, Duration::zero());
    queued.m_targetAt += past;
    queued.m_minTimeToFirstEvent = std::max(needed, request.m_latencyTarget - wait);
    // The order in the queue depends on the latency target of the route and the prefill time.
    queued.m_orderLead = past + std::max(reading, Duration::zero());
    return queued;
}

StrictDemand strictDemandOf(const EngineCosts &costs, const DispatchQueue &queue,
                            StreamLedger &ledger, TimePoint now)
{
    StrictDemand demand;
    demand.m_waiting = static_cast<uint32_t>(queue.size());
    demand.m_arrivals = ledger.recentStrictPlacements(now);
    demand.m_streamTime = costs.m_step * static_cast<double>(costs.m_usualAnswerTokens);
    demand.m_slots = costs.m_slots;
    return demand;
}

SideLoad sideLoadOf(const EngineCosts &costs, const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, const EndpointUses &uses,
                    const ActivePrefills &prefills, bool strict)
{
    SideLoad load;
    load.m_activePrefills = prefills;
    load.m_engines = strict ? strictSide.size() : pool.size() - strictSide.size();
    load.m_engines = std::max<size_t>(load.m_engines, 1);
    load.m_slots = static_cast<uint32_t>(load.m_engines) * costs.m_slots;
    for (const EndpointRecord &endpoint : pool) {
        const auto use = uses.find(endpoint.m_id);
        // Strict streams that run on engines of the other side take no slot of this one.
        if (use != uses.end() && strictSide.count(endpoint.m_id) > 0)
            load.m_strictStreams += use->second.m_strictAttempts;
    }
    return load;
}

uint32_t allowedStarts(const DispatchSettings &settings, const SideLoad &load, bool strict)
{
    return strict ? strictStreamsAllowed(settings, load) : prefillsAllowed(settings, load);
}

bool mayStartNext(const DispatchSettings &settings, const EngineCosts &costs,
                  const ModelRequest &request, DispatchQueue &queue, const LoadKey &key,
                  const SideLoad &load, TimePoint now)
{
    const bool strict = request.strict();
    if (!strict && isCheapPrefill(settings, costs, load, request.m_promptTokens))
        return true;
    return mayStartNow(queue, key, allowedStarts(settings, load, strict), now);
}

GangSides splitPool(const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, bool strict)
{
    GangSides sides;
    for (const EndpointRecord &endpoint : pool) {
        const bool own = (strictSide.count(endpoint.m_id) > 0) == strict;
        (own ? sides.m_own : sides.m_other).push_back(endpoint);
    }
    return sides;
}

GangQuery gangQueryOf(const DispatchSettings &settings, const EngineCosts &costs,
                      const ModelRequest &request, DisruptionPolicy disruption, size_t engines)
{
    GangQuery query;
    query.m_promptTokens = request.m_promptTokens;
    query.m_answerTokens = static_cast<double>(costs.m_usualAnswerTokens);
    query.m_gapLimitMs = request.m_gapLimitMs;
    query.m_expectedFirstEvent = minTimeToFirstEvent(settings, costs, request, engines);
    query.m_disruption = disruption;
    return query;
}

TurnLoad turnLoadOf(const DispatchSettings &settings, const SideLoad &load, double aheadMs)
{
    TurnLoad turn;
    turn.m_inProgressMs = load.m_activePrefills.m_prefillMs;
    turn.m_aheadMs = aheadMs;
    turn.m_limitMsPerEngine = maxBacklogPerEngine(settings, load).count();
    turn.m_engines = static_cast<double>(load.m_engines);
    turn.m_expectedEngines =
        static_cast<double>(load.m_expectedEngines > 0 ? load.m_expectedEngines : load.m_engines);
    turn.m_changeTime = PoolSplitSettings{}.m_shrinkDelay;
    return turn;
}

std::string_view dispatchObstacleMessage(DispatchObstacle obstacle)
{
    switch (obstacle) {
    case DispatchObstacle::None:
        return "";
    case DispatchObstacle::BehindOthers:
        return "too late: others came first";
    case DispatchObstacle::NoEligibleEngines:
        return "too late: the streams of the endpoints bear no more";
    case DispatchObstacle::EnginesBusy:
        return "too late: the endpoints have too much to read";
    case DispatchObstacle::TurnTooLate:
        return "too late: its turn is predicted after its latest start";
    }
    return "";
}

DispatchDecision decideDispatch(const DispatchSettings &settings, const EngineCosts &costs,
                                const ModelRequest &request, const QueuedRequest &queued, bool next,
                                DispatchObstacle before, const GangPlanner &plan, TimePoint now)
{
    DispatchDecision look = planIfNext(settings, request, queued, next, plan, now);
    if (look.m_plan || !cannotWaitLonger(request, queued, now))
        return look;
    look.m_plan = disruptivePlan(settings, costs, request, queued, plan, now);
    look.m_tooLate = !look.m_plan;
    if (look.m_tooLate && before != DispatchObstacle::None)
        look.m_obstacle = before;
    return look;
}

DispatchDecision decideByForecast(const DispatchSettings &settings, const EngineCosts &costs,
                                  const ModelRequest &request, const QueuedRequest &queued,
                                  bool next, bool justArrived, const TurnOutlook &outlook,
                                  const GangPlanner &plan, TimePoint now)
{
    // Its turn has come if all work before it is within the limit, also while those that precede it
    // find no engines. Otherwise a prompt that needs several engines' memory blocks the queue.
    const bool mayStart = next || (!request.strict() && outlook.m_turn <= Duration::zero());
    DispatchDecision look = planIfNext(settings, request, queued, mayStart, plan, now);
    if (look.m_plan)
        return look;
    // An attempt that failed is repeated late rather than refused.
    if (request.m_isRetry) {
        look.m_tooLate = now >= queued.m_expiresAt;
        return look;
    }
    const TimePoint latestStart = queued.m_targetAt - queued.m_minTimeToFirstEvent;
    if (now <= latestStart && now + turnToRefuseBy(request, justArrived, outlook) <= latestStart)
        return look;
    if (now > latestStart)
        look.m_plan = disruptivePlan(settings, costs, request, queued, plan, now);
    look.m_tooLate = !look.m_plan;
    if (look.m_tooLate)
        look.m_obstacle = DispatchObstacle::TurnTooLate;
    return look;
}

DispatchDecision decideStart(const DispatchSettings &settings, const EngineCosts &costs,
                             const ModelRequest &request, const QueuedRequest &queued,
                             const PollState &state, const GangPlanner &plan, TimePoint now)
{
    if (request.m_forecastsTurn)
        return decideByForecast(settings, costs, request, queued, state.m_next, state.m_justArrived,
                                state.m_outlook, plan, now);
    return decideDispatch(settings, costs, request, queued, state.m_next, state.m_before, plan,
                          now);
}

} // namespace stackquay
