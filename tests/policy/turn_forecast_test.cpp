#include <random>

#include <gtest/gtest.h>

#include "pool_loads.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

TurnLoad loadOf(double aheadMs, double servers = 10)
{
    TurnLoad load;
    load.m_aheadMs = aheadMs;
    load.m_servers = servers;
    load.m_expectedServers = servers;
    load.m_changeTime = Millis(1'000);
    return load;
}

double millisOf(Duration duration)
{
    return FloatMillis(duration).count();
}

// Guards against requests that are refused although nothing is before them.
TEST(PredictTurnTest, ComesAtOnceIfNothingIsAhead)
{
    EXPECT_EQ(predictTurn(loadOf(0), 0.5), Duration::zero());
    EXPECT_EQ(predictTurn(loadOf(0), MinRateShare), Duration::zero());
}

// Guards against a prediction that ignores the rate, the work ahead or the number of engines.
TEST(PredictTurnTest, FollowsTheWorkAheadAndTheRate)
{
    // Ten engines take 5 ms of work per ms with half of their time.
    EXPECT_NEAR(millisOf(predictTurn(loadOf(4'000), 0.5)), 800, 51);
    EXPECT_NEAR(millisOf(predictTurn(loadOf(8'000), 0.5)), 1'600, 51);
    EXPECT_NEAR(millisOf(predictTurn(loadOf(4'000), 0.25)), 1'600, 51);
    EXPECT_GT(predictTurn(loadOf(4'000, 5), 0.5), predictTurn(loadOf(4'000), 0.5));
}

// Guards against refusals at the end of a phase of strict streams, whose engines become free.
TEST(PredictTurnTest, CountsEnginesThatAreExpected)
{
    TurnLoad load = loadOf(10'000);
    const Duration constant = predictTurn(load, 0.5);
    load.m_expectedServers = 30;
    EXPECT_LT(predictTurn(load, 0.5), constant);
    load.m_expectedServers = 5;
    EXPECT_GT(predictTurn(load, 0.5), constant);
}

// Guards against requests that wait although the work in progress alone takes longer than their
// callers stay.
TEST(PredictTurnTest, CountsTheWorkInProgressAboveTheLimit)
{
    SideLoad side;
    side.m_engines = 4;
    side.m_poolEngines = 10;
    side.m_passPrefill = FloatMillis(500);
    const auto turn = [&](double inProgressMs, bool strict) {
        side.m_activePrefills = { 9, inProgressMs };
        return predictTurn(turnLoadOf({}, declaredCosts(16, 43), side, 0, strict), 0.5);
    };
    EXPECT_EQ(turn(4'000, false), Duration::zero());
    EXPECT_NEAR(millisOf(turn(24'000, false)), 2'000, 1);
    EXPECT_EQ(turn(24'000, true), Duration::zero());
}

// Guards against a division by zero or an overflow if no engine is left or the work is enormous.
TEST(PredictTurnTest, IsBoundedWithoutEngines)
{
    TurnLoad load = loadOf(2e15, 0);
    const Duration turn = predictTurn(load, MinRateShare);
    EXPECT_GT(turn, Duration(Seconds(60)));
    EXPECT_LE(turn, Duration(std::chrono::hours(1)) + Seconds(2));
}

// Guards against callers that are refused at the same time and told the same time: each place has
// to delay the turn of the next request.
TEST(ForecastTurnTest, CountsPlacesThatAreDueBeforeTheTurn)
{
    ReturnSchedule places;
    const TurnLoad load = loadOf(4'000);
    const Duration first = forecastTurn(load, places, 0.5, Start);
    EXPECT_EQ(first, predictTurn(load, 0.5));
    places.keep({ { 0, 0, 1 }, Start, Start + first, Start + Seconds(9), 2'000 });
    const Duration second = forecastTurn(load, places, 0.5, Start);
    EXPECT_NEAR(millisOf(second - first), 400, 51);
    // Due only because the first place delays the turn.
    places.keep({ { 0, 0, 2 }, Start, Start + second, Start + Seconds(9), 2'000 });
    EXPECT_NEAR(millisOf(forecastTurn(load, places, 0.5, Start) - second), 400, 51);
    places.keep({ { 0, 0, 3 }, Start, Start + Seconds(8), Start + Seconds(9), 2'000 });
    EXPECT_NEAR(millisOf(forecastTurn(load, places, 0.5, Start) - second), 400, 51);
}

// Guards against a rate that is learned while nothing waits, and would be too low.
TEST(StartRateTest, LearnsOnlyWhileRequestsWait)
{
    StartRate rate;
    rate.recordLoad(10, false, Start);
    EXPECT_DOUBLE_EQ(rate.share(), InitialRateShare);
    rate.recordLoad(10, false, Start + Seconds(20));
    EXPECT_DOUBLE_EQ(rate.share(), InitialRateShare);
}

// Guards against a rate that keeps its initial value or that of an earlier phase of load.
TEST(StartRateTest, FollowsTheObservedRate)
{
    StartRate rate;
    TimePoint now = Start;
    const auto observe = [&](double share) {
        for (int i = 0; i < 100; ++i) {
            rate.recordLoad(10, true, now);
            now += Millis(100);
            rate.recordStart(share * 10 * 100, now);
        }
    };
    observe(0.8);
    EXPECT_NEAR(rate.share(), 0.8, 0.1);
    observe(0.3);
    EXPECT_NEAR(rate.share(), 0.3, 0.1);
}

// Guards against predictions without bound if nothing starts.
TEST(StartRateTest, IsNeverZero)
{
    StartRate rate;
    rate.recordLoad(10, true, Start);
    rate.recordLoad(10, true, Start + Seconds(1'000));
    EXPECT_GE(rate.share(), MinRateShare);
}

// Guards against a bound that covers the mean error instead of its 0.95 quantile.
TEST(TurnErrorTest, TracksTheQuantileOfTheError)
{
    TurnError error;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> late(0, 3);
    const Duration predicted = Millis(1'000);
    int covered = 0;
    for (int i = 0; i < 4'000; ++i) {
        const auto actual = std::chrono::duration_cast<Duration>(predicted * late(random));
        covered += i >= 2'000 && actual <= error.latest(predicted);
        error.record(predicted, actual);
    }
    EXPECT_NEAR(covered / 2'000.0, LatestQuantile, 0.03);
}

// Guards against a bound that refuses everything for long after a single slow phase: it leaves the
// errors that were seen by one step at most, and follows within some tens of requests.
TEST(TurnErrorTest, StaysWithinTheErrorsSeen)
{
    TurnError error;
    const Duration predicted = Seconds(1);
    for (int i = 0; i < 10'000; ++i)
        error.record(predicted, Seconds(4));
    EXPECT_LE(error.latest(predicted), Duration(Millis(4'600)));
    for (int i = 0; i < 400; ++i)
        error.record(predicted, Seconds(1));
    EXPECT_LE(error.latest(predicted), Duration(Millis(1'200)));
    for (int i = 0; i < 100'000; ++i)
        error.record(predicted, Millis(500));
    EXPECT_GE(error.latest(predicted), Duration(Millis(400)));
    EXPECT_EQ(error.latest(Duration::zero()) >= Duration::zero(), true);
}

// Guards against an estimate that counts the streams left over from a busier phase.
TEST(ExpectedStrictEnginesTest, FollowArrivalsOnly)
{
    StrictDemand demand;
    demand.m_slots = 12;
    demand.m_streamTime = FloatMillis(1'500);
    EXPECT_EQ(expectedStrictEngines({}, demand, 54), 1u);
    demand.m_waiting = 500;
    EXPECT_EQ(expectedStrictEngines({}, demand, 54), 1u);
    // 40 in 400 ms are 150 streams at a time; 7.5 of 12 slots each are used.
    demand.m_arrivals = 40;
    EXPECT_EQ(expectedStrictEngines({}, demand, 54), 20u);
    demand.m_arrivals = 4'000;
    EXPECT_LT(expectedStrictEngines({}, demand, 54), 54u);
}

/// A long prompt whose caller stays for ten seconds and whose queue entry allows it to start up to
/// two seconds before that.
class DecideStartTest : public testing::Test
{
protected:
    DecideStartTest()
    {
        m_request.m_promptTokens = 100'000;
        m_request.m_gapLimitMs = 1'000;
        m_request.m_arrival = Start;
        m_request.m_leavesAt = Start + Seconds(10);
        m_request.m_deadline = Start + Seconds(15);
        m_queued.m_latestStart = Start + Seconds(8);
    }

    DispatchDecision decide(Millis turn, Millis at = Millis(0))
    {
        return decideStart(
            {}, declaredCosts(12, 48), m_request, m_queued, m_next, turn,
            [this](DisruptionPolicy) { return m_plan; }, Start + at);
    }

    void setPlan(Millis firstEvent, Millis completion)
    {
        m_plan.emplace();
        m_plan->m_firstEvent = firstEvent;
        m_plan->m_completion = completion;
    }

    ModelRequest m_request;
    QueuedRequest m_queued;
    bool m_next = false;
    std::optional<GangPlan> m_plan;
};

// Guards against requests that wait although their turn is predicted too late, and against refusals
// of those that can still be served.
TEST_F(DecideStartTest, RefusesAtOnceWhatCannotBeServedBeforeItsCallerLeaves)
{
    EXPECT_FALSE(decide(Millis(8'000)).m_tooLate);
    const DispatchDecision refused = decide(Millis(8'001));
    EXPECT_TRUE(refused.m_tooLate);
    EXPECT_EQ(refused.m_obstacle, DispatchObstacle::TurnTooLate);
    EXPECT_FALSE(decide(Millis(1'000), Millis(7'000)).m_tooLate);
    EXPECT_TRUE(decide(Millis(1'100), Millis(7'000)).m_tooLate);
    EXPECT_TRUE(decide(Millis(0), Millis(8'001)).m_tooLate);
}

// Guards against refusals of requests that could start.
TEST_F(DecideStartTest, StartsInItsTurnWhateverIsPredicted)
{
    m_next = true;
    setPlan(Millis(9'900), Millis(14'900));
    EXPECT_TRUE(decide(Millis(9'000)).m_plan);
    EXPECT_TRUE(decide(Millis(9'000), Millis(100)).m_plan);
}

// Guards against engine time for answers that come after their callers have left.
TEST_F(DecideStartTest, DoesNotStartWhatWouldNotBeServed)
{
    m_next = true;
    setPlan(Millis(10'001), Millis(14'000));
    EXPECT_FALSE(decide(Millis(0)).m_plan);
    EXPECT_EQ(decide(Millis(0)).m_obstacle, DispatchObstacle::EnginesBusy);
    setPlan(Millis(1'000), Millis(15'001));
    EXPECT_FALSE(decide(Millis(0)).m_plan);
    // An engine may have room again before the latest start.
    EXPECT_FALSE(decide(Millis(0)).m_tooLate);
}

// Guards against a start out of turn.
TEST_F(DecideStartTest, WaitsWhileOthersComeFirst)
{
    setPlan(Millis(1'000), Millis(4'000));
    EXPECT_FALSE(decide(Millis(0)).m_plan);
    EXPECT_FALSE(decide(Millis(0)).m_tooLate);
}

/// The time of the callers of the properties below.
struct CallerTime {
    Duration m_patience{};
    Duration m_deadline{};
};

/// Plays drawn requests, plans and predictions through queuedRequestOf() and decideStart().
class DecisionPropertyTest : public testing::Test
{
protected:
    struct Draw {
        EngineCosts m_costs;
        PoolSize m_pool;
        ModelRequest m_request;
        CallerTime m_time;
        bool m_next = false;
        Duration m_turn{};
        std::optional<GangPlan> m_plan;
        TimePoint m_now{};
    };

    uint64_t below(uint64_t end)
    {
        return std::uniform_int_distribution<uint64_t>(0, end - 1)(m_random);
    }

    Draw draw()
    {
        Draw draw;
        draw.m_costs = declaredCosts(static_cast<uint32_t>(8 + below(9)), 48);
        draw.m_pool = { 1 + below(60), FloatMillis(static_cast<double>(50 + below(1'000))) };
        draw.m_request.m_promptTokens = static_cast<double>(1'000 + below(600'000));
        draw.m_request.m_answerTokens = static_cast<double>(100 + below(2'000));
        draw.m_request.m_gapLimitMs = below(2) ? 250 : 1'000;
        draw.m_time = { Millis(2'000 + below(14'000)), Millis(2'000 + below(20'000)) };
        draw.m_next = below(2);
        draw.m_turn = Millis(below(12'000));
        draw.m_now = Start + Millis(below(14'000));
        if (below(3)) {
            draw.m_plan.emplace();
            draw.m_plan->m_firstEvent = FloatMillis(static_cast<double>(below(6'000)));
            draw.m_plan->m_completion =
                draw.m_plan->m_firstEvent + FloatMillis(static_cast<double>(below(6'000)));
            draw.m_plan->m_disruptedStreams = static_cast<uint32_t>(below(6));
        }
        return draw;
    }

    static DispatchDecision decide(const Draw &draw, TimePoint arrival, CallerTime time)
    {
        ModelRequest request = draw.m_request;
        request.m_arrival = arrival;
        request.m_leavesAt = arrival + time.m_patience;
        request.m_deadline = arrival + time.m_deadline;
        const QueuedRequest queued = queuedRequestOf({}, draw.m_costs, request, draw.m_pool);
        return decideStart(
            {}, draw.m_costs, request, queued, draw.m_next, draw.m_turn,
            [&](DisruptionPolicy) { return draw.m_plan; }, draw.m_now);
    }

    std::mt19937_64 m_random{ 7 };
};

// Guards against a longer time that brings a refusal which a shorter one does not.
TEST_F(DecisionPropertyTest, MoreTimeNeverBringsARefusal)
{
    size_t refused = 0;
    size_t started = 0;
    for (int i = 0; i < 20'000; ++i) {
        const Draw drawn = draw();
        const DispatchDecision decision = decide(drawn, Start, drawn.m_time);
        refused += decision.m_tooLate;
        started += decision.m_plan.has_value();
        for (CallerTime more :
             { CallerTime{ Millis(below(9'000)), {} }, CallerTime{ {}, Millis(below(9'000)) },
               CallerTime{ Millis(below(9'000)), Millis(below(9'000)) } }) {
            more.m_patience += drawn.m_time.m_patience;
            more.m_deadline += drawn.m_time.m_deadline;
            const DispatchDecision later = decide(drawn, Start, more);
            ASSERT_TRUE(!later.m_tooLate || decision.m_tooLate);
            ASSERT_TRUE(later.m_plan || !decision.m_plan);
        }
    }
    EXPECT_GT(refused, 1'000u);
    EXPECT_GT(started, 1'000u);
}

// Guards against decisions that differ for a first attempt and a later one: what counts is the time
// that is left, not when the request arrived.
TEST_F(DecisionPropertyTest, EqualTimeAndWorkLeftGetTheSameDecision)
{
    for (int i = 0; i < 20'000; ++i) {
        const Draw drawn = draw();
        const Duration earlier = Millis(below(60'000));
        const DispatchDecision first = decide(drawn, Start, drawn.m_time);
        const DispatchDecision later =
            decide(drawn, Start - earlier,
                   { drawn.m_time.m_patience + earlier, drawn.m_time.m_deadline + earlier });
        ASSERT_EQ(later.m_tooLate, first.m_tooLate);
        ASSERT_EQ(later.m_plan.has_value(), first.m_plan.has_value());
        ASSERT_EQ(later.m_obstacle, first.m_obstacle);
    }
}

// Guards against requests that wait with less time left than their work takes.
TEST_F(DecisionPropertyTest, LessTimeThanWorkIsRefusedAtOnce)
{
    size_t checked = 0;
    for (int i = 0; i < 20'000; ++i) {
        Draw drawn = draw();
        drawn.m_now = Start;
        if (!drawn.m_plan || drawn.m_plan->m_firstEvent <= FloatMillis(drawn.m_time.m_patience))
            continue;
        const QueuedRequest queued = [&] {
            ModelRequest request = drawn.m_request;
            request.m_leavesAt = Start + drawn.m_time.m_patience;
            request.m_deadline = Start + drawn.m_time.m_deadline;
            return queuedRequestOf({}, drawn.m_costs, request, drawn.m_pool);
        }();
        if (queued.m_latestStart >= Start)
            continue;
        ++checked;
        ASSERT_TRUE(decide(drawn, Start, drawn.m_time).m_tooLate);
    }
    EXPECT_GT(checked, 50u);
}

// Guards against refusals by an idle pool of what can be done in time.
TEST(IdlePoolTest, RefusesNothingThatCanBeDoneInTime)
{
    std::mt19937_64 random(3);
    const auto below = [&random](uint64_t end) {
        return std::uniform_int_distribution<uint64_t>(0, end - 1)(random);
    };
    std::vector<EndpointRecord> engines(18);
    for (size_t i = 0; i < engines.size(); ++i)
        engines[i].m_id = EndpointId("e" + std::to_string(100 + i));
    const EngineCosts costs = declaredCosts(16, 43);
    size_t inTime = 0;
    for (int i = 0; i < 2'000; ++i) {
        ModelRequest request;
        request.m_promptTokens = static_cast<double>(1'000 + below(180'000));
        request.m_answerTokens = static_cast<double>(100 + below(2'000));
        request.m_gapLimitMs = below(2) ? 250 : 1'000;
        request.m_arrival = Start;
        request.m_leavesAt = Start + Millis(below(3'000));
        request.m_deadline = Start + Millis(below(5'000));
        const PoolSize pool{ engines.size(), maxPassPrefill({}, costs, Millis(1'000)) };
        const GangQuery query = gangQueryOf({}, costs, request, DisruptionPolicy::Avoid, pool);
        const auto plan = planGang({}, costs, { engines, {} }, {}, query);
        ASSERT_TRUE(plan);
        const bool canBeDone = Start + plan->m_firstEvent <= request.m_leavesAt
                               && Start + plan->m_completion <= request.m_deadline;
        const DispatchDecision decision = decideStart(
            {}, costs, request, queuedRequestOf({}, costs, request, pool), true, Duration::zero(),
            [&](DisruptionPolicy) { return plan; }, Start);
        ASSERT_EQ(decision.m_plan.has_value(), canBeDone);
        inTime += canBeDone;
    }
    EXPECT_GT(inTime, 500u);
}

} // namespace
} // namespace stackquay
