#include "policy/dispatch_plan.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Whether an attempt as planned serves the caller before it leaves.
bool isInTime(const ModelRequest &request, const GangPlan &plan, TimePoint now)
{
    return now + plan.m_firstEvent <= request.m_leavesAt
           && now + plan.m_completion <= request.m_deadline;
}

DispatchDecision planIfNext(const ModelRequest &request, bool next, const GangPlanner &plan,
                            TimePoint now)
{
    if (!next)
        return { std::nullopt, DispatchObstacle::BehindOthers };
    auto planned = plan(DisruptionPolicy::Avoid);
    if (!planned)
        return { std::nullopt, DispatchObstacle::NoEligibleEngines };
    if (!isInTime(request, *planned, now))
        return { std::nullopt, DispatchObstacle::EnginesBusy };
    return { std::move(planned) };
}

/// A plan for a request that would otherwise be refused, if it disrupts few streams.
std::optional<GangPlan> disruptivePlan(const DispatchSettings &settings, const EngineCosts &costs,
                                       const ModelRequest &request, const GangPlanner &plan,
                                       TimePoint now)
{
    if (request.strict())
        return std::nullopt;
    auto planned = plan(DisruptionPolicy::Permit);
    const bool costly =
        planned && planned->m_disruptedStreams > settings.m_maxDisruptedShare * costs.m_slots;
    if (!planned || costly || !isInTime(request, *planned, now))
        return std::nullopt;
    return planned;
}

} // namespace

FloatMillis expectedFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                               const ModelRequest &request, const PoolSize &pool)
{
    if (request.strict())
        return prefillDuration(costs, request.m_promptTokens) + startDelay(costs);
    // One that has waited starts when the backlog of the engines is just below the limit.
    return longPromptFirstEvent(settings, costs, request.m_promptTokens, pool.m_engines,
                                maxBacklogPerEngine(settings, pool.m_passPrefill));
}

FloatMillis expectedCompletion(const DispatchSettings &settings, const EngineCosts &costs,
                               const ModelRequest &request, const PoolSize &pool)
{
    return expectedFirstEvent(settings, costs, request, pool)
           + decodeDuration(costs, request.m_answerTokens);
}

QueuedRequest queuedRequestOf(const DispatchSettings &settings, const EngineCosts &costs,
                              const ModelRequest &request, const PoolSize &pool)
{
    const auto whole = [](FloatMillis time) { return std::chrono::duration_cast<Duration>(time); };
    QueuedRequest queued;
    queued.m_latestStart =
        std::min(request.m_leavesAt - whole(expectedFirstEvent(settings, costs, request, pool)),
                 request.m_deadline - whole(expectedCompletion(settings, costs, request, pool)));
    queued.m_order = queued.m_latestStart;
    // It was told when its turn comes, so it does not lose it to requests that came after it.
    if (request.m_returnOf)
        queued.m_order -= request.m_arrival - *request.m_returnOf;
    queued.m_workMs = request.strict() ? streamTime(costs).count()
                                       : prefillDuration(costs, request.m_promptTokens).count();
    return queued;
}

StrictDemand strictDemandOf(const EngineCosts &costs, const DispatchQueue &queue,
                            StreamLedger &ledger, TimePoint now)
{
    StrictDemand demand;
    demand.m_waiting = static_cast<uint32_t>(queue.size());
    demand.m_arrivals = ledger.recentStrictPlacements(now);
    demand.m_streamTime = streamTime(costs);
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
    load.m_poolEngines = std::max<size_t>(pool.size(), 1);
    load.m_slots = static_cast<uint32_t>(load.m_engines) * costs.m_slots;
    for (const EndpointRecord &endpoint : pool) {
        const auto use = uses.find(endpoint.m_id);
        // Strict streams that run on engines of the other side take no slot of this one.
        if (use != uses.end() && strictSide.count(endpoint.m_id) > 0)
            load.m_strictStreams += use->second.m_strictAttempts;
    }
    return load;
}

bool mayStartNext(const DispatchSettings &settings, const EngineCosts &costs,
                  const ModelRequest &request, DispatchQueue &queue, const LoadKey &key,
                  const SideLoad &load, TimePoint now)
{
    if (!request.strict() && isCheapPrefill(settings, costs, load, request.m_promptTokens))
        return true;
    dropExpired(queue, key, now);
    if (queue.count(key) == 0)
        return true;
    const QueuePosition position = positionOf(queue, key, now);
    return request.strict() ? mayStartStream(settings, load, position)
                            : mayStartPrefill(settings, load, position);
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
                      const ModelRequest &request, DisruptionPolicy disruption,
                      const PoolSize &pool)
{
    GangQuery query;
    query.m_promptTokens = request.m_promptTokens;
    query.m_answerTokens = request.m_answerTokens;
    query.m_gapLimitMs = request.m_gapLimitMs;
    // Beside the prefill of a pass, as engines that keep up with their prompts have it.
    query.m_expectedFirstEvent = request.strict()
                                     ? expectedFirstEvent(settings, costs, request, pool)
                                     : longPromptFirstEvent(settings, costs, request.m_promptTokens,
                                                            pool.m_engines, pool.m_passPrefill);
    query.m_disruption = disruption;
    return query;
}

TurnLoad turnLoadOf(const DispatchSettings &settings, const EngineCosts &costs,
                    const SideLoad &load, double aheadMs, bool strict)
{
    const double perEngine = strict ? costs.m_slots : 1;
    TurnLoad turn;
    turn.m_aheadMs = aheadMs;
    turn.m_servers = static_cast<double>(load.m_engines) * perEngine;
    turn.m_expectedServers =
        static_cast<double>(load.m_expectedEngines > 0 ? load.m_expectedEngines : load.m_engines)
        * perEngine;
    turn.m_changeTime = PoolSplitSettings{}.m_shrinkDelay;
    if (strict || load.m_activePrefills.m_prompts < settings.m_minConcurrentPrefills)
        return turn;
    // Even if all engines of the pool did nothing but prefill.
    const FloatMillis excess =
        FloatMillis(load.m_activePrefills.m_prefillMs)
        - maxBacklogPerEngine(settings, load.m_passPrefill) * static_cast<double>(load.m_engines);
    turn.m_blockedFor = std::chrono::duration_cast<Duration>(
        std::max(excess, FloatMillis(0)) / static_cast<double>(load.m_poolEngines));
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

DispatchDecision decideStart(const DispatchSettings &settings, const EngineCosts &costs,
                             const ModelRequest &request, const QueuedRequest &queued, bool next,
                             Duration turn, const GangPlanner &plan, TimePoint now)
{
    DispatchDecision decision = planIfNext(request, next, plan, now);
    const TimePoint startsAt = next ? now : now + turn;
    if (decision.m_plan || startsAt <= queued.m_latestStart)
        return decision;
    if (next)
        decision.m_plan = disruptivePlan(settings, costs, request, plan, now);
    decision.m_tooLate = !decision.m_plan;
    if (decision.m_tooLate && decision.m_obstacle == DispatchObstacle::BehindOthers)
        decision.m_obstacle = DispatchObstacle::TurnTooLate;
    return decision;
}

} // namespace stackquay
