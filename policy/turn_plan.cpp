#include "policy/turn_plan.h"

#include <algorithm>

namespace stackquay {

namespace {

bool canPlanInTime(const TurnSettings &settings, const ModelRequest &request,
                   const WaitingTurn &turn, const GangPlan &plan, TimePoint now)
{
    // A strict stream waits for a slot alone, and a repeat for nothing more.
    return request.strict() || request.m_repeat
           || isInTime(turn, plan.m_firstEvent * settings.m_predictionMargin, now);
}

TurnLook planInTurn(const TurnSettings &settings, const ModelRequest &request,
                    const WaitingTurn &turn, bool next, const GangPlanner &plan, TimePoint now)
{
    if (!next)
        return { std::nullopt, TurnObstacle::OthersFirst };
    auto planned = plan(StreamCare::Spare);
    if (!planned)
        return { std::nullopt, TurnObstacle::NoneBearsIt };
    if (!canPlanInTime(settings, request, turn, *planned, now))
        return { std::nullopt, TurnObstacle::AllBusy };
    return { std::move(planned) };
}

/// A plan for one that would be late otherwise, if it spoils few streams.
std::optional<GangPlan> lastPlan(const TurnSettings &settings, const EngineCosts &costs,
                                 const ModelRequest &request, const WaitingTurn &turn,
                                 const GangPlanner &plan, TimePoint now)
{
    if (request.strict())
        return std::nullopt;
    auto planned = plan(StreamCare::Spoil);
    const bool dear = planned && planned->m_spoilt > settings.m_spoilShare * costs.m_slots;
    if (!planned || dear || !isInTime(turn, planned->m_firstEvent, now))
        return std::nullopt;
    return planned;
}

/// Whether it has waited long enough to know that it cannot be answered as wanted.
bool mustEnd(const ModelRequest &request, const WaitingTurn &turn, TimePoint now)
{
    // A repeat is late as a rule; it has its patience.
    return request.m_repeat ? now >= turn.m_expiresAt : isTooLate(turn, now);
}

} // namespace

FloatMillis neededToBegin(const TurnSettings &settings, const EngineCosts &costs,
                          const ModelRequest &request, size_t engines)
{
    if (request.strict())
        return readTime(costs, request.m_promptTokens) + settings.m_strictNeed;
    return neededToRead(settings, costs, request.m_promptTokens, engines);
}

WaitingTurn turnOf(const TurnSettings &settings, const EngineCosts &costs,
                   const ModelRequest &request, size_t engines)
{
    const auto part = [](FloatMillis of, double share) {
        return std::chrono::duration_cast<Duration>(of * share);
    };
    const FloatMillis toBegin = neededToBegin(settings, costs, request, engines);
    const Duration needed = part(toBegin, 1);
    WaitingTurn turn;
    turn.m_aimAt = request.m_arrival + request.m_aim;
    turn.m_needed = needed;
    turn.m_expiresAt =
        request.m_arrival
        + std::min(part(request.m_patience, settings.m_patienceShare),
                   part(request.m_deadline - request.m_arrival, settings.m_timeShare));
    if (request.strict())
        return turn;
    // All sizes are refused after the same wait: the small ones before they must, and the large
    // ones after they could be in time.
    const Duration wait = part(request.m_aim, settings.m_waitShare);
    const Duration past = std::max(wait + needed - request.m_aim, Duration::zero());
    const Duration reading = part(toBegin - settings.m_readOverhead, settings.m_readingShare);
    turn.m_aimAt += past;
    turn.m_needed = std::max(needed, request.m_aim - wait);
    // The order goes by the route's aim and the reading.
    turn.m_lead = past + std::max(reading, Duration::zero());
    return turn;
}

StrictDemand strictDemandOf(const EngineCosts &costs, const TurnQueue &queue, StreamLedger &ledger,
                            TimePoint now)
{
    StrictDemand demand;
    demand.m_waiting = static_cast<uint32_t>(queue.size());
    demand.m_arrivals = ledger.recentStrict(now);
    demand.m_streamTime = costs.m_step * static_cast<double>(costs.m_usualAnswerTokens);
    demand.m_slots = costs.m_slots;
    return demand;
}

SideLoad sideLoadOf(const EngineCosts &costs, const std::vector<EndpointRecord> &pool,
                    const std::unordered_set<EndpointId> &strictSide, const EndpointUses &uses,
                    const ReadingNow &reading, bool strict)
{
    SideLoad load;
    load.m_reading = reading;
    load.m_engines = strict ? strictSide.size() : pool.size() - strictSide.size();
    load.m_engines = std::max<size_t>(load.m_engines, 1);
    load.m_slots = static_cast<uint32_t>(load.m_engines) * costs.m_slots;
    for (const EndpointRecord &endpoint : pool) {
        const auto use = uses.find(endpoint.m_id);
        // Those on other engines take no slot of this side.
        if (use != uses.end() && strictSide.count(endpoint.m_id) > 0)
            load.m_strictStreams += use->second.m_strictWriters;
    }
    return load;
}

uint32_t roomOf(const TurnSettings &settings, const SideLoad &load, bool strict)
{
    return strict ? roomToWrite(settings, load) : roomToRead(settings, load);
}

bool isNext(const TurnSettings &settings, const EngineCosts &costs, const ModelRequest &request,
            TurnQueue &queue, const LoadKey &key, const SideLoad &load, TimePoint now)
{
    const bool strict = request.strict();
    if (!strict && readsLittle(settings, costs, load, request.m_promptTokens))
        return true;
    return mayBegin(queue, key, roomOf(settings, load, strict), now);
}

GangSides divide(const std::vector<EndpointRecord> &pool,
                 const std::unordered_set<EndpointId> &strictSide, bool strict)
{
    GangSides sides;
    for (const EndpointRecord &endpoint : pool) {
        const bool own = (strictSide.count(endpoint.m_id) > 0) == strict;
        (own ? sides.m_own : sides.m_other).push_back(endpoint);
    }
    return sides;
}

GangQuestion questionOf(const EngineCosts &costs, const ModelRequest &request, StreamCare care,
                        TimePoint now)
{
    GangQuestion question;
    question.m_promptTokens = request.m_promptTokens;
    question.m_answerTokens = static_cast<double>(costs.m_usualAnswerTokens);
    question.m_gapLimitMs = request.m_gapLimitMs;
    question.m_within = request.m_arrival + request.m_aim - now;
    question.m_care = care;
    return question;
}

std::string_view turnObstacleName(TurnObstacle obstacle)
{
    switch (obstacle) {
    case TurnObstacle::None:
        return "";
    case TurnObstacle::OthersFirst:
        return "too late: others came first";
    case TurnObstacle::NoneBearsIt:
        return "too late: the streams of the endpoints bear no more";
    case TurnObstacle::AllBusy:
        return "too late: the endpoints have too much to read";
    }
    return "";
}

TurnLook lookForTurn(const TurnSettings &settings, const EngineCosts &costs,
                     const ModelRequest &request, const WaitingTurn &turn, bool next,
                     TurnObstacle before, const GangPlanner &plan, TimePoint now)
{
    TurnLook look = planInTurn(settings, request, turn, next, plan, now);
    if (look.m_plan || !mustEnd(request, turn, now))
        return look;
    look.m_plan = lastPlan(settings, costs, request, turn, plan, now);
    look.m_tooLate = !look.m_plan;
    if (look.m_tooLate && before != TurnObstacle::None)
        look.m_obstacle = before;
    return look;
}

} // namespace stackquay
