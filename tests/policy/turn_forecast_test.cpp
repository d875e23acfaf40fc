#include <random>

#include <gtest/gtest.h>

#include "pool_loads.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(1'000);

TurnLoad loadOf(double inProgressMs, double aheadMs, double engines = 10)
{
    TurnLoad load;
    load.m_inProgressMs = inProgressMs;
    load.m_aheadMs = aheadMs;
    load.m_limitMsPerEngine = 500;
    load.m_engines = engines;
    load.m_expectedEngines = engines;
    load.m_changeTime = Millis(1'000);
    return load;
}

double millisOf(Duration duration)
{
    return FloatMillis(duration).count();
}

// Guards against requests that are refused although nothing is before them.
TEST(PredictTurnTest, ComesAtOnceBelowTheLimit)
{
    EXPECT_EQ(predictTurn(loadOf(0, 0), 0.5), Duration::zero());
    EXPECT_EQ(predictTurn(loadOf(4'000, 1'000), 0.5), Duration::zero());
}

// Guards against a prediction that ignores the rate, the work ahead or the number of engines.
TEST(PredictTurnTest, FollowsTheWorkAboveTheLimitAndTheRate)
{
    // 4,000 ms above the limit of 5,000 ms; ten engines complete 5 ms per ms at half their time.
    EXPECT_NEAR(millisOf(predictTurn(loadOf(5'000, 4'000), 0.5)), 800, 51);
    EXPECT_NEAR(millisOf(predictTurn(loadOf(9'000, 0), 0.5)), 800, 51);
    EXPECT_NEAR(millisOf(predictTurn(loadOf(5'000, 4'000), 0.25)), 1'600, 51);
    EXPECT_GT(predictTurn(loadOf(5'000, 4'000, 5), 0.5), predictTurn(loadOf(5'000, 4'000), 0.5));
}

// Guards against refusals at the end of a phase of strict streams, whose engines become free.
TEST(PredictTurnTest, CountsEnginesThatAreExpected)
{
    TurnLoad load = loadOf(5'000, 10'000);
    const Duration constant = predictTurn(load, 0.5);
    load.m_expectedEngines = 30;
    EXPECT_LT(predictTurn(load, 0.5), constant);
    load.m_expectedEngines = 5;
    EXPECT_GT(predictTurn(load, 0.5), constant);
}

// Guards against a division by zero or an overflow if no engine is left or the work is enormous.
TEST(PredictTurnTest, IsBoundedWithoutEngines)
{
    TurnLoad load = loadOf(1e15, 1e15, 0);
    const Duration turn = predictTurn(load, MinRateShare);
    EXPECT_GT(turn, Duration(Seconds(60)));
    EXPECT_LE(turn, Duration(std::chrono::hours(1)) + Seconds(2));
}

// Guards against callers that are refused at the same time and told the same time: each place has
// to delay the turn of the next request.
TEST(ForecastTurnTest, CountsPlacesThatAreDueBeforeTheTurn)
{
    ReturnSchedule places;
    const TurnLoad load = loadOf(5'000, 4'000);
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

// Guards against a rate that is learned while engines lack work, and would be too low.
TEST(CompletionRateTest, LearnsOnlyWhileTheLimitIsReached)
{
    CompletionRate rate;
    rate.recordLoad(loadOf(100, 0), Start);
    EXPECT_DOUBLE_EQ(rate.share(), InitialRateShare);
    rate.recordCompleted(100, Start + Seconds(20));
    EXPECT_DOUBLE_EQ(rate.share(), InitialRateShare);
}

// Guards against a rate that keeps its initial value or that of an earlier phase of load.
TEST(CompletionRateTest, FollowsTheObservedRate)
{
    CompletionRate rate;
    TimePoint now = Start;
    const auto observe = [&](double share) {
        for (int i = 0; i < 100; ++i) {
            rate.recordLoad(loadOf(6'000, 0), now);
            now += Millis(100);
            rate.recordCompleted(share * 10 * 100, now);
        }
    };
    observe(0.8);
    EXPECT_NEAR(rate.share(), 0.8, 0.1);
    observe(0.3);
    EXPECT_NEAR(rate.share(), 0.3, 0.1);
}

// Guards against predictions without bound if nothing completes, and against more than all engines.
TEST(CompletionRateTest, StaysWithinItsBounds)
{
    CompletionRate rate;
    rate.recordLoad(loadOf(6'000, 0), Start);
    rate.recordLoad(loadOf(6'000, 0), Start + Seconds(1'000));
    EXPECT_GE(rate.share(), MinRateShare);
    rate.recordCompleted(1e9, Start + Seconds(1'000));
    EXPECT_LE(rate.share(), 1);
}

// Guards against a margin that covers the mean error instead of its 0.95 quantile.
TEST(TurnErrorTest, TracksTheQuantileOfTheError)
{
    TurnError error;
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> late(0, 1'000);
    int covered = 0;
    for (int i = 0; i < 4'000; ++i) {
        const auto actual = std::chrono::duration_cast<Duration>(FloatMillis(late(random)));
        covered += i >= 2'000 && actual <= error.margin();
        error.record(Duration::zero(), actual);
    }
    EXPECT_NEAR(covered / 2'000.0, MarginQuantile, 0.03);
}

// Guards against a margin that refuses everything for long after a single slow phase.
TEST(TurnErrorTest, IsBounded)
{
    TurnError error;
    for (int i = 0; i < 10'000; ++i)
        error.record(Duration::zero(), Seconds(100));
    EXPECT_LE(error.margin(), Duration(Seconds(2)));
    for (int i = 0; i < 100'000; ++i)
        error.record(Seconds(100), Duration::zero());
    EXPECT_GE(error.margin(), -Duration(Seconds(2)));
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

// Guards against forecasts where slots limit the load, or where no usual size is declared.
TEST(IsMemoryBoundTest, ComparesTheDeclaredUsualSize)
{
    EngineCosts costs = declaredCosts(12, 48);
    EXPECT_FALSE(isMemoryBound(costs));
    costs.m_usualAnswerTokens = 1'000;
    costs.m_usualPromptTokens = 9'000;
    // 13 requests of 10,000 tokens, less 2 in 100.
    costs.m_memoryTokens = 127'451;
    EXPECT_FALSE(isMemoryBound(costs));
    costs.m_memoryTokens = 127'450;
    EXPECT_TRUE(isMemoryBound(costs));
}

struct AdmissionTable {
    RouteTable m_table;

    explicit AdmissionTable(bool memoryBound)
    {
        DeclaredService service;
        service.m_id = ServiceId("s");
        service.m_engine = declaredCosts(12, 48);
        service.m_engine->m_usualPromptTokens = memoryBound ? 50'000 : 5'000;
        m_table.m_services[service.m_id] = service;
        service.m_id = ServiceId("plain");
        service.m_engine.reset();
        m_table.m_services[service.m_id] = service;
    }

    void addRoute(uint32_t priority, const char *service = "s", bool isPublic = false)
    {
        Route route;
        route.m_priority = priority;
        route.m_public = isPublic;
        route.m_services = { { ServiceId(service), 1 } };
        m_table.m_routes.push_back(route);
    }
    void addKey(const char *key, std::optional<uint32_t> priority)
    {
        m_table.m_hasCustomers = true;
        m_table.m_keys[key] = { CustomerId(key), priority };
    }
    AdmissionPolicy admission(const char *service = "s")
    {
        indexRoutes(m_table);
        return m_table.m_services.at(ServiceId(service)).m_admission;
    }
};

// Guards against changed decisions in deployments that declare neither ranks nor memory-bound
// engines.
TEST(AdmissionPolicyTest, NothingIsSetWithoutRanksOrMemoryBoundEngines)
{
    AdmissionTable of(false);
    of.addRoute(5);
    of.addRoute(5);
    of.addKey("a", std::nullopt);
    const AdmissionPolicy admission = of.admission();
    EXPECT_FALSE(admission.m_ranked || admission.m_forecastsTurns || admission.m_sharesByCustomer);
}

// Guards against ranks of other services, or of routes whose rank every customer overrides.
TEST(AdmissionPolicyTest, RanksAreThoseOfTheRequestsOfTheService)
{
    AdmissionTable routes(false);
    routes.addRoute(0);
    routes.addRoute(2, "plain");
    EXPECT_FALSE(routes.admission().m_ranked);
    routes.addRoute(1);
    EXPECT_TRUE(routes.admission().m_ranked);
    EXPECT_TRUE(routes.admission().m_forecastsTurns);
    EXPECT_FALSE(routes.admission("plain").m_forecastsTurns);

    AdmissionTable customers(false);
    customers.addRoute(0);
    customers.addRoute(1);
    customers.addKey("a", 3);
    EXPECT_FALSE(customers.admission().m_ranked);
    customers.addKey("b", 4);
    EXPECT_TRUE(customers.admission().m_ranked);
    EXPECT_TRUE(customers.admission().m_sharesByCustomer);

    // Requests on a public route carry no key, so the rank of a customer does not apply to them.
    AdmissionTable open(false);
    open.addRoute(0, "s", true);
    open.addKey("a", 3);
    EXPECT_FALSE(open.admission().m_ranked);
    open.addRoute(1);
    EXPECT_TRUE(open.admission().m_ranked);

    // Ranks of customers alone must not change deployments that worked without forecasts.
    AdmissionTable alike(false);
    alike.addRoute(1);
    alike.addRoute(1);
    alike.addKey("a", 0);
    alike.addKey("b", 2);
    EXPECT_FALSE(alike.admission().m_ranked);
    EXPECT_FALSE(alike.admission().m_forecastsTurns);
}

// Guards against forecasts that depend on ranks alone, and shares without customers.
TEST(AdmissionPolicyTest, MemoryBoundEnginesForecastTurns)
{
    AdmissionTable of(true);
    of.addRoute(5);
    EXPECT_TRUE(of.admission().m_forecastsTurns);
    EXPECT_FALSE(of.admission().m_ranked);
    EXPECT_FALSE(of.admission().m_sharesByCustomer);
    of.addKey("a", std::nullopt);
    EXPECT_TRUE(of.admission().m_sharesByCustomer);
}

/// A long prompt whose queue entry allows it to start up to two seconds after its arrival.
class DecideByForecastTest : public testing::Test
{
protected:
    DecideByForecastTest()
    {
        m_request.m_promptTokens = 100'000;
        m_request.m_gapLimitMs = 1'000;
        m_request.m_latencyTarget = Millis(3'000);
        m_request.m_patience = Millis(12'000);
        m_request.m_arrival = Start;
        m_request.m_deadline = Start + Seconds(15);
        m_request.m_forecastsTurn = true;
        m_queued.m_targetAt = Start + Millis(3'000);
        m_queued.m_minTimeToFirstEvent = Millis(1'000);
        m_queued.m_expiresAt = Start + Millis(6'000);
    }

    DispatchDecision decide(bool justArrived, Millis turn, Millis margin, Millis at = Millis(0))
    {
        return decideByForecast(
            {}, declaredCosts(12, 48), m_request, m_queued, m_next, justArrived, { turn, margin },
            [this](DisruptionPolicy) { return m_plan; }, Start + at);
    }

    ModelRequest m_request;
    QueuedRequest m_queued;
    bool m_next = false;
    std::optional<GangPlan> m_plan;
};

// Guards against requests that wait although their turn is predicted too late.
TEST_F(DecideByForecastTest, RefusesAtOnceWhatMayBeTooLate)
{
    EXPECT_FALSE(decide(true, Millis(1'500), Millis(400)).m_tooLate);
    const DispatchDecision refused = decide(true, Millis(1'500), Millis(600));
    EXPECT_TRUE(refused.m_tooLate);
    EXPECT_EQ(refused.m_obstacle, DispatchObstacle::TurnTooLate);
}

// Guards against late refusals of requests that were admitted and are merely uncertain.
TEST_F(DecideByForecastTest, RefusesWhatWaitsOnlyByThePredictionAlone)
{
    EXPECT_FALSE(decide(false, Millis(1'500), Millis(600)).m_tooLate);
    EXPECT_TRUE(decide(false, Millis(2'100), Millis(0)).m_tooLate);
    EXPECT_TRUE(decide(false, Millis(1'100), Millis(0), Millis(1'000)).m_tooLate);
    EXPECT_TRUE(decide(false, Millis(0), Millis(0), Millis(2'001)).m_tooLate);
}

// Guards against refusals of requests that could start.
TEST_F(DecideByForecastTest, StartsInItsTurnWhateverIsPredicted)
{
    m_next = true;
    m_plan.emplace();
    m_plan->m_firstEvent = FloatMillis(1'000);
    EXPECT_TRUE(decide(true, Millis(9'000), Millis(900)).m_plan);
    m_plan->m_firstEvent = FloatMillis(4'000);
    const DispatchDecision late = decide(true, Millis(0), Millis(0));
    EXPECT_FALSE(late.m_plan);
    EXPECT_EQ(late.m_obstacle, DispatchObstacle::EnginesBusy);
}

// Guards against a queue that stands still while the request at its head finds no engines.
TEST_F(DecideByForecastTest, StartsIfItsTurnIsPredictedToHaveCome)
{
    m_plan.emplace();
    m_plan->m_firstEvent = FloatMillis(1'000);
    EXPECT_FALSE(decide(true, Millis(1), Millis(0)).m_plan);
    EXPECT_TRUE(decide(true, Millis(0), Millis(0)).m_plan);
}

// Guards against large prompts that are never started, as their prediction is in time without a
// margin only.
TEST_F(DecideByForecastTest, APromptInItsTurnNeedsNoMargin)
{
    m_next = true;
    m_plan.emplace();
    m_plan->m_firstEvent = FloatMillis(2'900);
    EXPECT_TRUE(decide(true, Millis(0), Millis(0)).m_plan);
}

// Guards against second refusals of callers that came back when they were told to.
TEST_F(DecideByForecastTest, OneThatCameBackWaitsAsLongAsItCan)
{
    m_request.m_returnOf = Start - Seconds(1);
    EXPECT_FALSE(decide(true, Millis(2'800), Millis(900)).m_tooLate);
    EXPECT_TRUE(decide(true, Millis(3'000), Millis(900)).m_tooLate);
    EXPECT_TRUE(decide(true, Millis(2'100), -Millis(900)).m_tooLate);
    EXPECT_FALSE(decide(false, Millis(9'000), Millis(0), Millis(1'900)).m_tooLate);
    EXPECT_TRUE(decide(false, Millis(0), Millis(0), Millis(2'001)).m_tooLate);
}

// Guards against refusals of an attempt that failed on an endpoint and is repeated.
TEST_F(DecideByForecastTest, RetriesWaitUntilTheyExpire)
{
    m_request.m_isRetry = true;
    EXPECT_FALSE(decide(false, Millis(9'000), Millis(900), Millis(5'900)).m_tooLate);
    EXPECT_TRUE(decide(false, Millis(0), Millis(0), Millis(6'000)).m_tooLate);
}

// Guards against admission control that changes the decisions of deployments that do not enable it:
// plays randomly drawn requests and plans through decideStart() and through the rules as they were
// without it.
TEST(DecideStartTest, WithoutForecastEachDecisionIsThatOfDecideDispatch)
{
    std::mt19937_64 random(7);
    const auto below = [&random](uint64_t end) {
        return std::uniform_int_distribution<uint64_t>(0, end - 1)(random);
    };
    const DispatchSettings settings;
    size_t started = 0;
    size_t refused = 0;
    size_t differsByForecast = 0;
    for (int i = 0; i < 20'000; ++i) {
        const EngineCosts costs = declaredCosts(static_cast<uint32_t>(8 + below(9)), 48);
        const size_t engines = 1 + below(60);
        ModelRequest request;
        request.m_promptTokens = static_cast<double>(1'000 + below(600'000));
        request.m_gapLimitMs = below(2) ? 250 : 1'000;
        request.m_latencyTarget = Millis(300 + below(5'000));
        request.m_patience = Millis(2'000 + below(20'000));
        request.m_arrival = Start;
        request.m_deadline = Start + Millis(5'000 + below(20'000));
        request.m_isRetry = below(10) == 0;
        const QueuedRequest queued = queuedRequestOf(settings, costs, request, engines);
        // The entry as it was without admission control.
        const Duration needed = std::chrono::duration_cast<Duration>(
            minTimeToFirstEvent(settings, costs, request, engines));
        const Duration wait = request.m_latencyTarget / 2;
        const Duration past =
            request.strict() ? Duration::zero()
                             : std::max(wait + needed - request.m_latencyTarget, Duration::zero());
        ASSERT_EQ(queued.m_targetAt, Start + request.m_latencyTarget + past);
        ASSERT_EQ(queued.m_minTimeToFirstEvent,
                  request.strict() ? needed : std::max(needed, request.m_latencyTarget - wait));
        ASSERT_GE(queued.m_orderLead, past);
        if (request.strict()) {
            ASSERT_EQ(queued.m_orderLead, Duration::zero());
        }

        std::optional<GangPlan> plan;
        if (below(3)) {
            plan.emplace();
            plan->m_firstEvent = FloatMillis(static_cast<double>(below(5'000)));
            plan->m_disruptedStreams = static_cast<uint32_t>(below(6));
        }
        std::vector<DisruptionPolicy> asked;
        const GangPlanner planner = [&](DisruptionPolicy disruption) {
            asked.push_back(disruption);
            return plan;
        };
        PollState state;
        state.m_next = below(2);
        state.m_justArrived = below(2);
        state.m_before = static_cast<DispatchObstacle>(below(5));
        state.m_outlook = { Millis(below(5'000)), Millis(below(2'000)) };
        const TimePoint now = Start + Millis(below(6'000));
        const DispatchDecision before = decideDispatch(settings, costs, request, queued,
                                                       state.m_next, state.m_before, planner, now);
        const std::vector<DisruptionPolicy> askedBefore = std::exchange(asked, {});
        const DispatchDecision with =
            decideStart(settings, costs, request, queued, state, planner, now);
        ASSERT_EQ(with.m_plan.has_value(), before.m_plan.has_value());
        ASSERT_EQ(with.m_tooLate, before.m_tooLate);
        ASSERT_EQ(with.m_obstacle, before.m_obstacle);
        ASSERT_EQ(asked, askedBefore);
        started += with.m_plan.has_value();
        refused += with.m_tooLate;
        request.m_forecastsTurn = true;
        const DispatchDecision forecast =
            decideStart(settings, costs, request, queued, state, planner, now);
        differsByForecast += forecast.m_tooLate != before.m_tooLate;
    }
    // The draws reach all outcomes, and the two paths differ if forecasts are enabled.
    EXPECT_GT(started, 1'000u);
    EXPECT_GT(refused, 1'000u);
    EXPECT_GT(differsByForecast, 1'000u);
}

} // namespace
} // namespace stackquay
