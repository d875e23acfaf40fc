/// Part of RelayRun: when a request may begin, and which endpoints take it.
#include <algorithm>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// Between looks whether a request may begin: a tenth of a long prompt's usual part.
constexpr Millis TurnPoll{ 12 };

/// What a request that is refused for want of time waited for.
constexpr std::string_view OthersFirst = "too late: others came first";
constexpr std::string_view NoneBearsIt = "too late: the streams of the endpoints bear no more";
constexpr std::string_view AllBusy = "too late: the endpoints have too much to read";

/// Whether a request is taken: answers vary in length, and engines pause for other prompts: on a
/// day with four of six VMs stopping, nine in ten strict streams and half of the long prompts ended
/// within 1.75 times this arithmetic (1,245 and 39 requests).
constexpr double ExpectedSlack = 2;

} // namespace

std::vector<EndpointRecord> RelayRun::candidates() const
{
    // The newest list: endpoints may have left since the request arrived.
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    if (!pool)
        return {};
    std::vector<EndpointRecord> untried;
    for (const EndpointRecord &endpoint : *pool) {
        if (m_tried.count(endpoint.m_id) == 0)
            untried.push_back(endpoint);
    }
    return healthyOf(m_node.m_ejections, std::move(untried), Clock::now());
}

GangSides RelayRun::sidesOf(const std::vector<EndpointRecord> &pool, const EndpointUses &uses,
                            bool strictStream) const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *whole = poolOf(*view, m_serviceId);
    if (!whole)
        return { pool, {} };
    const auto strictSide = m_node.strictSide(m_serviceId, *m_service->m_engine, *whole, uses);
    GangSides sides;
    for (const EndpointRecord &endpoint : pool) {
        const bool own = (strictSide.count(endpoint.m_id) > 0) == strictStream;
        (own ? sides.m_own : sides.m_other).push_back(endpoint);
    }
    return sides;
}

std::optional<GangPlan> RelayRun::choose(StreamCare care)
{
    const std::vector<EndpointRecord> pool = candidates();
    const auto places = m_node.m_suspects.placesFor(m_care, pool, m_node.m_ledger);
    auto plan = planOn(places, care);
    // Beside other suspects rather than not at all: most of them did nothing.
    if (!plan && m_care == SuspectCare::Apart && places.size() < pool.size())
        plan = planOn(pool, care);
    return plan;
}

std::optional<GangPlan> RelayRun::planOn(const std::vector<EndpointRecord> &pool, StreamCare care)
{
    const TimePoint now = Clock::now();
    const EndpointUses uses = m_node.m_ledger.uses(now);
    const DataCentreId &here = m_node.m_settings.m_dataCentre;
    if (!isModelRequest()) {
        const EndpointRecord *best = leastLoaded(pool, uses, here);
        if (!best)
            return std::nullopt;
        return GangPlan{ { { *best, 0, 0, false } }, FloatMillis(0) };
    }
    const EngineCosts &costs = *m_service->m_engine;
    GangQuestion question;
    question.m_promptTokens = static_cast<double>(m_head.m_promptTokens);
    question.m_answerTokens = static_cast<double>(costs.m_usualAnswerTokens);
    question.m_gapLimitMs = gapLimitMs();
    question.m_within = m_arrival + m_route->m_aim - now;
    question.m_care = care;
    question.m_rooms.m_dataCentre = here;
    question.m_rooms.m_draw = [this] {
        return std::uniform_real_distribution<double>(0, 1)(m_node.m_random);
    };
    return planGang(m_node.m_gang, costs, sidesOf(pool, uses, question.strict()), uses, question);
}

bool RelayRun::isModelRequest() const
{
    return m_service && m_service->m_engine && m_head.m_promptTokens > 0;
}

uint32_t RelayRun::roomNow() const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    if (!pool)
        return 1;
    const EndpointUses uses = m_node.m_ledger.uses(Clock::now());
    const auto strictSide = m_node.strictSide(m_serviceId, *m_service->m_engine, *pool, uses);
    const bool strictStream = isStrictGap(gapLimitMs());
    SideLoad load;
    load.m_reading = m_node.m_ledger.readingLong();
    load.m_engines = strictStream ? strictSide.size() : pool->size() - strictSide.size();
    load.m_engines = std::max<size_t>(load.m_engines, 1);
    load.m_slots = static_cast<uint32_t>(load.m_engines) * m_service->m_engine->m_slots;
    for (const EndpointRecord &endpoint : *pool) {
        const auto use = uses.find(endpoint.m_id);
        if (use != uses.end())
            load.m_strictStreams += use->second.m_strictWriters;
    }
    return strictStream ? roomToWrite(m_node.m_turns, load) : roomToRead(m_node.m_turns, load);
}

FloatMillis RelayRun::neededToBegin() const
{
    const TurnSettings &turns = m_node.m_turns;
    const EngineCosts &costs = *m_service->m_engine;
    const auto tokens = static_cast<double>(m_head.m_promptTokens);
    if (isStrictGap(gapLimitMs()))
        return readTime(costs, tokens) + turns.m_strictNeed;
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    return neededToRead(turns, costs, tokens, pool ? pool->size() : 1);
}

Duration RelayRun::timeToEnd(double slack) const
{
    if (!isModelRequest())
        return std::chrono::duration_cast<Duration>(m_route->m_aim * slack);
    const EngineCosts &costs = *m_service->m_engine;
    const auto usual = static_cast<double>(costs.m_usualAnswerTokens);
    const auto limit = static_cast<double>(m_head.m_answerTokens);
    // With slack it may write all that it may; without, what such answers usually are.
    double answer = usual * slack;
    if (limit > 0)
        answer = slack > 1 ? limit : std::min(usual, limit);
    return std::chrono::duration_cast<Duration>(neededToBegin() * slack + writeTime(costs, answer));
}

RequestTime RelayRun::timeNeeded() const
{
    const Duration most = m_deadline - m_arrival;
    return { std::min(timeToEnd(ExpectedSlack), most), most };
}

bool RelayRun::betterElsewhere() const
{
    // What may have run is tried here to the end: only this VM can still answer it.
    if (m_mayHaveRun > 0 || m_streaming)
        return false;
    const RelayViewPtr view = m_node.m_view.load();
    if (!isDraining(view->m_drain))
        return false;
    constexpr double NoSlack = 1;
    return !canEnd(view->m_drain, Clock::now(), std::min(timeToEnd(NoSlack), left()));
}

WaitingTurn RelayRun::turnWanted() const
{
    const TurnSettings &turns = m_node.m_turns;
    const FloatMillis needed = neededToBegin();
    // What takes longer than its aim by itself is wanted as soon as it could be had.
    const FloatMillis wanted =
        std::max<FloatMillis>(m_route->m_aim, needed * turns.m_slackOfTheLongest);
    const auto patience =
        std::chrono::duration_cast<Duration>(clientPatience() * turns.m_patienceShare);
    const auto most =
        std::chrono::duration_cast<Duration>((m_deadline - m_arrival) * turns.m_timeShare);
    return { m_arrival + std::chrono::duration_cast<Duration>(wanted),
             std::chrono::duration_cast<Duration>(needed), m_arrival + std::min(patience, most) };
}

tl::expected<GangPlan, std::string_view> RelayRun::planFor(const WaitingTurn &turn)
{
    const TimePoint now = Clock::now();
    if (!mayBegin(m_node.queueOf(gapLimitMs()), m_load, roomNow(), now))
        return tl::unexpected(OthersFirst);
    auto plan = choose(StreamCare::Spare);
    if (!plan)
        return tl::unexpected(NoneBearsIt);
    // A strict stream waits for a slot alone, and a repeat for nothing more.
    if (isStrictGap(gapLimitMs()) || m_arrivals > 0
        || isInTime(turn, plan->m_firstEvent * m_node.m_turns.m_predictionMargin, now))
        return std::move(*plan);
    return tl::unexpected(AllBusy);
}

std::optional<GangPlan> RelayRun::lastPlan(const WaitingTurn &turn)
{
    if (isStrictGap(gapLimitMs()))
        return std::nullopt;
    auto plan = choose(StreamCare::Spoil);
    const bool dear =
        plan && plan->m_spoilt > m_node.m_turns.m_spoilShare * m_service->m_engine->m_slots;
    if (!plan || dear || !isInTime(turn, plan->m_firstEvent, Clock::now()))
        return std::nullopt;
    return plan;
}

bool RelayRun::mustEnd(const WaitingTurn &turn) const
{
    const TimePoint now = Clock::now();
    // A repeat is late as a rule; it has its patience.
    return m_arrivals > 0 ? now >= turn.m_expiresAt : isTooLate(turn, now);
}

std::optional<GangPlan> RelayRun::awaitTurn()
{
    if (!isModelRequest())
        return choose(StreamCare::Spare);
    const WaitingTurn turn = turnWanted();
    m_node.queueOf(gapLimitMs())[m_load] = turn;
    bool told = false;
    for (;;) {
        // Known not to end in time, it is refused now: another VM may still serve it.
        const bool hopeless = m_node.m_ending || betterElsewhere();
        if (!hopeless) {
            auto plan = planFor(turn);
            if (plan)
                return std::move(*plan);
            if (mustEnd(turn)) {
                m_why = plan.error();
                return lastPlan(turn);
            }
        }
        if (!told)
            m_node.wait(m_load, gapLimitMs(), turn);
        told = true;
        if (hopeless || !sleepFor(m_node.m_thread.context(), TurnPoll) || m_hungUp
            || left() <= TurnPoll) {
            m_why = "waited for its turn";
            return std::nullopt;
        }
    }
}

void RelayRun::logPlacement(const GangPlan &plan) const
{
    const GangMember &first = plan.m_members.front();
    DecisionLine("relay", "placed")
        .text("request", m_head.m_id.str())
        .text("endpoint", first.m_endpoint.m_id.str())
        .number("width", static_cast<int64_t>(plan.m_members.size()))
        .number("part_ms", static_cast<int64_t>(first.m_readMs))
        .number("predicted_ms", static_cast<int64_t>(plan.m_firstEvent.count()))
        .number("spoilt", plan.m_spoilt)
        .number("wait_ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .number("in_flight", static_cast<int64_t>(m_node.m_ledger.size()))
        .number("tried", static_cast<int64_t>(m_tried.size()))
        .flag("suspect", m_care != SuspectCare::None)
        .write();
}

} // namespace stackquay
