#include <set>

#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(10'000);
const ModelId TheModel("m");

class StewardTest : public testing::Test
{
protected:
    StewardTest()
    {
        m_settings.m_capacity = { 100'000, 2, 1, 0, 0, Duration::zero() };
        m_steward = makeSteward("vm1:1", m_settings);
    }

    void addEndpoints(int count)
    {
        for (int i = 0; i < count; ++i)
            updateEndpoint(m_steward, facts("e" + std::to_string(i)), m_now);
    }

    static EndpointFacts facts(const std::string &id)
    {
        return { EndpointId(id), { TheModel }, "v1", 0, false };
    }

    GrantRequest request(int id, uint64_t tokens = 1'000, const char *customer = "c")
    {
        GrantRequest result;
        result.m_request = RequestId(std::to_string(id));
        result.m_attempt = AttemptId("a" + std::to_string(id));
        result.m_customer = CustomerId(customer);
        result.m_model = TheModel;
        result.m_need = { tokens, 10, {} };
        result.m_arrived = m_now;
        result.m_deadline = m_now + Seconds(60);
        return result;
    }

    GrantDecision ask(const GrantRequest &request)
    {
        auto decisions = requestGrant(m_steward, request, m_now, m_random);
        EXPECT_EQ(decisions.at(0).m_request, request.m_request);
        return decisions[0];
    }

    std::vector<GrantDecision> finish(const GrantId &grant, AttemptEnd end = AttemptEnd::Complete)
    {
        return noteFinished(m_steward, grant, { end, 0, Millis(5), Millis(50), 10 }, m_now);
    }

    void expectEmpty()
    {
        EXPECT_TRUE(m_steward.m_grants.empty());
        EXPECT_TRUE(m_steward.m_waiting.empty());
        EXPECT_TRUE(m_steward.m_queue.empty());
        EXPECT_FALSE(m_steward.m_reservation);
        for (const auto &[id, endpoint] : m_steward.m_endpoints)
            EXPECT_EQ(endpoint.m_ledger.m_totals, LedgerTotals{});
    }

    StewardSettings m_settings;
    Steward m_steward;
    TimePoint m_now = Start;
    RandomEngine m_random{ 1 };
};

TEST_F(StewardTest, GrantsThenQueuesThenGrantsAgain)
{
    addEndpoints(1);
    const auto first = ask(request(1));
    const auto second = ask(request(2));
    EXPECT_EQ(first.m_answer, GrantAnswer::Granted);
    EXPECT_NE(first.m_grant.m_id, second.m_grant.m_id);
    EXPECT_EQ(ask(request(3)).m_answer, GrantAnswer::Waiting);
    EXPECT_EQ(ask(request(3)).m_answer, GrantAnswer::Waiting); // A repeated request.
    const auto freed = finish(first.m_grant.m_id);
    ASSERT_EQ(freed.size(), 1u);
    EXPECT_EQ(freed[0].m_request, RequestId("3"));
    EXPECT_TRUE(finish(first.m_grant.m_id).empty());
    finish(second.m_grant.m_id);
    finish(freed[0].m_grant.m_id);
    expectEmpty();
}

TEST_F(StewardTest, BusyRequestIsNotQueued)
{
    addEndpoints(1);
    ask(request(1));
    ask(request(2));
    auto third = request(3);
    third.m_mayWait = false;
    EXPECT_EQ(ask(third).m_answer, GrantAnswer::Busy);
    EXPECT_TRUE(m_steward.m_waiting.empty());
}

TEST_F(StewardTest, HigherPriorityIsGrantedFirst)
{
    addEndpoints(1);
    const auto held = ask(request(1));
    ask(request(2));
    ask(request(3));
    auto urgent = request(4);
    urgent.m_priority = 1;
    ask(urgent);
    EXPECT_EQ(finish(held.m_grant.m_id).at(0).m_request, RequestId("4"));
}

TEST_F(StewardTest, ShortRequestsOvertakeAWaitingLongOne)
{
    addEndpoints(2);
    EXPECT_EQ(ask(request(1, 50'000)).m_answer, GrantAnswer::Granted);
    EXPECT_EQ(ask(request(2, 50'000)).m_answer, GrantAnswer::Waiting);
    EXPECT_EQ(ask(request(3)).m_answer, GrantAnswer::Granted);
}

TEST_F(StewardTest, LongPromptsArePrefilledInChunksOfBoundedTime)
{
    addEndpoints(1);
    const auto decision = ask(request(1, 50'000));
    ASSERT_EQ(decision.m_answer, GrantAnswer::Granted);
    ASSERT_GT(decision.m_chunkTokens, 0u);
    const auto bound = stewardWeights(RoutingObjective::ShortSlowdown).m_chunkBound;
    const auto &cost = m_steward.m_endpoints.begin()->second.m_cost;
    if (decision.m_chunkTokens > MinChunkTokens) {
        EXPECT_LE(predictPrefill(cost, { decision.m_chunkTokens, 50'000, 0 }), bound);
    }
    const auto &ledger = m_steward.m_endpoints.begin()->second.m_ledger;
    EXPECT_LE(unchunkedStartDelay(ledger, m_now), bound);
    const auto before = remainingPrefillTime(ledger, m_now);
    EXPECT_GT(noteChunkDone(m_steward, decision.m_grant.m_id, 25'000, m_now), 0u);
    EXPECT_LT(remainingPrefillTime(ledger, m_now), before);
    EXPECT_EQ(ask(request(2)).m_chunkTokens, 0u);
}

TEST_F(StewardTest, GrantsExpireUnlessStarted)
{
    addEndpoints(1);
    const auto lost = ask(request(1));
    const auto started = ask(request(2));
    EXPECT_TRUE(noteStarted(m_steward, started.m_grant.m_id, m_now, m_now + Seconds(30)));
    ask(request(3));
    m_now += Seconds(3);
    const auto decisions = expire(m_steward, m_now);
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].m_request, RequestId("3"));
    EXPECT_FALSE(noteStarted(m_steward, lost.m_grant.m_id, m_now, m_now + Seconds(30)));
    EXPECT_TRUE(noteHeartbeat(m_steward, started.m_grant.m_id, m_now + Seconds(60)));
}

TEST_F(StewardTest, RemovingAnEndpointRevokesItsGrants)
{
    addEndpoints(2);
    std::set<RequestId> held;
    for (int i = 1; i <= 4; ++i)
        held.insert(ask(request(i)).m_request);
    ask(request(5));
    const auto removal = dropEndpoint(m_steward, EndpointId("e0"), m_now);
    EXPECT_EQ(removal.m_revoked.size(), 2u);
    EXPECT_TRUE(removal.m_decisions.empty());
    EXPECT_EQ(m_steward.m_grants.size(), 2u);
    EXPECT_TRUE(finish(removal.m_revoked[0].m_id).empty());
    EXPECT_EQ(dropEndpoint(m_steward, EndpointId("e0"), m_now).m_revoked.size(), 0u);
}

TEST_F(StewardTest, RefusesRequestsThatCannotBeServed)
{
    EXPECT_EQ(ask(request(1)).m_refusal.m_error, RequestError::NoCapacity);
    addEndpoints(1);
    EXPECT_EQ(ask(request(2, 200'000)).m_refusal.m_error, RequestError::PromptTooLong);
    auto late = request(3);
    late.m_deadline = m_now + Micros(10);
    EXPECT_EQ(ask(late).m_refusal.m_error, RequestError::DeadlineUnmeetable);
    EXPECT_EQ(ask(late).m_refusal.m_outcome, Outcome::RefusedNotRun);
}

TEST_F(StewardTest, WaitingRequestIsRefusedAfterItsDeadline)
{
    addEndpoints(1);
    ask(request(1));
    ask(request(2));
    for (auto &[id, endpoint] : m_steward.m_grants)
        noteHeartbeat(m_steward, id, m_now + Seconds(600));
    ask(request(3));
    m_now += Seconds(61);
    const auto decisions = expire(m_steward, m_now);
    ASSERT_EQ(decisions.size(), 1u);
    EXPECT_EQ(decisions[0].m_answer, GrantAnswer::Refused);
    EXPECT_TRUE(m_steward.m_waiting.empty());
}

TEST_F(StewardTest, RefusalByAnEndpointPausesIt)
{
    addEndpoints(2);
    const auto first = ask(request(1));
    finish(first.m_grant.m_id, AttemptEnd::NoMemory);
    EXPECT_NE(ask(request(2)).m_endpoint, first.m_endpoint);
    EXPECT_NE(ask(request(3)).m_endpoint, first.m_endpoint);
    m_now += Seconds(1);
    EXPECT_EQ(ask(request(4)).m_endpoint, first.m_endpoint);
}

TEST_F(StewardTest, EndpointIsReservedForARequestThatWaitsLongForMemory)
{
    m_steward.m_settings.m_capacity.m_slots = 50;
    addEndpoints(1);
    std::vector<GrantId> held;
    for (int i = 0; i < 9; ++i)
        held.push_back(ask(request(i, 4'000)).m_grant.m_id);
    for (const auto &id : held)
        noteStarted(m_steward, id, m_now, m_now + Seconds(600));
    EXPECT_EQ(ask(request(100, 90'000)).m_answer, GrantAnswer::Waiting);
    m_now += Seconds(2);
    expire(m_steward, m_now);
    EXPECT_EQ(ask(request(101, 4'000)).m_answer, GrantAnswer::Waiting);
    std::vector<GrantDecision> granted;
    for (const auto &id : held) {
        for (const auto &decision : finish(id))
            granted.push_back(decision);
    }
    ASSERT_FALSE(granted.empty());
    EXPECT_EQ(granted[0].m_request, RequestId("100"));
    EXPECT_FALSE(m_steward.m_reservation);
}

TEST_F(StewardTest, AdoptsGrantsOfAnEarlierSteward)
{
    addEndpoints(1);
    Grant grant = ask(request(1)).m_grant;
    auto next = makeSteward("vm2:1", m_settings);
    updateEndpoint(next, facts("e0"), m_now);
    EXPECT_TRUE(adoptGrant(next, EndpointId("e0"), grant, m_now));
    EXPECT_FALSE(adoptGrant(next, EndpointId("e0"), grant, m_now));
    EXPECT_FALSE(adoptGrant(next, EndpointId("other"), grant, m_now));
    EXPECT_EQ(next.m_endpoints.begin()->second.m_ledger.m_totals.m_grants, 1u);
}

TEST_F(StewardTest, RandomOperationsLeakNoGrantAndLoseNoRequest)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        m_random.seed(seed);
        m_steward = makeSteward("vm1:1", m_settings);
        addEndpoints(3);
        std::vector<GrantId> grants;
        std::set<RequestId> open;
        const auto applyDecisions = [&](const std::vector<GrantDecision> &decisions) {
            for (const auto &decision : decisions) {
                if (decision.m_answer == GrantAnswer::Granted)
                    grants.push_back(decision.m_grant.m_id);
                if (decision.m_answer == GrantAnswer::Waiting)
                    continue;
                ASSERT_EQ(open.erase(decision.m_request), 1u) << seed;
            }
        };
        for (int step = 0; step < 1'000; ++step) {
            m_now += Millis(m_random() % 100);
            const auto any = grants.empty() ? GrantId("x") : grants[m_random() % grants.size()];
            switch (m_random() % 6) {
            case 0:
            case 1: {
                auto next = request(step, 1 + m_random() % 120'000);
                next.m_deadline = m_now + Millis(m_random() % 20'000);
                open.insert(next.m_request);
                applyDecisions(requestGrant(m_steward, next, m_now, m_random));
                break;
            }
            case 2:
                noteStarted(m_steward, any, m_now, m_now + Millis(m_random() % 10'000));
                applyDecisions(noteFirstToken(m_steward, any, m_now));
                break;
            case 3:
                applyDecisions(
                    noteFinished(m_steward, any,
                                 { static_cast<AttemptEnd>(m_random() % 6), 0, Millis(5) }, m_now));
                break;
            case 4:
                applyDecisions(expire(m_steward, m_now));
                break;
            default:
                if (m_random() % 20 == 0)
                    applyDecisions(dropEndpoint(m_steward, EndpointId("e1"), m_now).m_decisions);
                applyDecisions(updateEndpoint(m_steward, facts("e1"), m_now));
            }
            ASSERT_EQ(open.size(), m_steward.m_waiting.size()) << seed << " " << step;
            ASSERT_EQ(m_steward.m_queue.size(), m_steward.m_waiting.size());
        }
        for (int i = 0; i < 5; ++i) {
            m_now += Seconds(100);
            applyDecisions(expire(m_steward, m_now));
        }
        expectEmpty();
        EXPECT_TRUE(open.empty()) << seed;
    }
}

// All streams of all engines failed at one moment, as after a cut between them and the VMs: each
// failure beyond the third doubled the ejection, and no engine was granted for a minute.
TEST_F(StewardTest, EnginesThatFailTogetherAreNotAllEjectedForLong)
{
    constexpr int Engines = 4;
    constexpr int StreamsOfEach = 30;
    m_settings.m_capacity = { 1'000'000, 64, 64, 0, 3, Duration::zero() };
    m_steward = makeSteward("vm1:1", m_settings);
    addEndpoints(Engines);
    std::vector<GrantId> grants;
    for (int i = 0; i < Engines * StreamsOfEach; ++i) {
        const auto granted = ask(request(i));
        ASSERT_EQ(granted.m_answer, GrantAnswer::Granted);
        grants.push_back(granted.m_grant.m_id);
    }
    for (const GrantId &grant : grants)
        finish(grant, AttemptEnd::Failed);
    const TimePoint failed = m_now;
    auto next = request(1'000);
    next.m_mayWait = false;
    next.m_deadline = m_now + Seconds(180);
    while (m_now < failed + Seconds(120) && ask(next).m_answer != GrantAnswer::Granted)
        m_now += Millis(100);
    EXPECT_LE(m_now - failed, m_settings.m_ejection.m_base);
}

} // namespace
} // namespace stackquay
