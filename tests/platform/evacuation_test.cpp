// Evacuations of data centres, and endpoints that are cold.

#include <gtest/gtest.h>

#include "deployment.h"
#include "standin/fault_relay.h"

namespace stackquay::platform {
namespace {

class EvacuationTest : public testing::Test
{
protected:
    EvacuationTest() { m_deployment.m_bounds.m_evacuationTime = Millis(5'000); }

    /// An endpoint of @p service in @p dataCentre.
    HostedWorker &addWorker(const std::string &service, const std::string &dataCentre,
                            Millis coldLeft = Millis(0))
    {
        HostedWorker &worker = m_deployment.addWorker(service);
        m_deployment.m_store->put(
            "servers", worker->id(),
            R"({"service":")" + service + R"(","address":")" + toString(worker.address())
                + R"(","zone":")" + dataCentre
                + R"(","version":"v1","slots":8,"state":"ready","seq":1,"coldLeftMs":)"
                + std::to_string(coldLeft.count()) + "}");
        return worker;
    }

    void evacuate(const std::string &dataCentre)
    {
        m_deployment.m_store->put("evacuations", dataCentre, "{}");
    }

    void start(size_t daemons)
    {
        for (size_t i = 0; i < daemons; ++i)
            m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
    }

    RelayViewPtr view(size_t daemon)
    {
        return m_deployment.m_daemons[daemon]->node().m_view.load();
    }

    bool allHavePool(const std::string &service, size_t size)
    {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            if (m_deployment.poolSize(service, i) != size)
                return false;
        }
        return true;
    }

    Deployment m_deployment;
};

TEST_F(EvacuationTest, NothingIsSentToAnEvacuatedDataCentreUntilItIsTakenBack)
{
    m_deployment.declare(1);
    HostedWorker &there = addWorker("plain", "there");
    addWorker("plain", "here");
    start(3);
    evacuate("there");
    ASSERT_TRUE(eventually([this] { return allHavePool("plain", 1); }));
    const size_t before = there->runs().size();
    for (int i = 0; i < 30; ++i)
        EXPECT_EQ(m_deployment.call({}, i % 3).m_status, 200u);
    EXPECT_EQ(there->runs().size(), before);
    m_deployment.m_store->remove("evacuations", "there");
    EXPECT_TRUE(eventually([this] { return allHavePool("plain", 2); }));
}

TEST_F(EvacuationTest, RunningRequestFinishesAtTheEvacuatedEndpoint)
{
    m_deployment.declare(1);
    addWorker("model", "there");
    start(1);
    auto answer = m_deployment.begin(streamRequest());
    ASSERT_TRUE(eventually([this] { return m_deployment.totalRuns() == 1; }));
    evacuate("there");
    ASSERT_TRUE(eventually([this] { return allHavePool("model", 0); }));
    const ClientAnswer got = answer.get();
    EXPECT_EQ(got.m_status, 200u);
    EXPECT_TRUE(got.m_whole);
}

TEST_F(EvacuationTest, RequestIsRefusedAtOnceIfAllDataCentresAreEvacuated)
{
    m_deployment.declare(1);
    addWorker("plain", "here");
    addWorker("model", "there");
    start(1);
    evacuate("here");
    evacuate("there");
    ASSERT_TRUE(eventually([this] { return allHavePool("plain", 0) && allHavePool("model", 0); }));
    for (const ClientRequest &request : { ClientRequest{}, unsafeRequest(), streamRequest() }) {
        const ClientAnswer answer = m_deployment.call(request);
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_NE(answer.header("Retry-After"), "");
        EXPECT_LT(answer.m_took, Millis(150));
    }
    EXPECT_EQ(m_deployment.totalRuns(), 0u);
}

TEST_F(EvacuationTest, VmThatStartsDuringAnEvacuationKnowsItBeforeItIsReady)
{
    m_deployment.declare(1);
    HostedWorker &there = addWorker("plain", "there");
    addWorker("plain", "here");
    evacuate("there");
    start(1);
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(m_deployment.call({}, 1).m_status, 200u);
    EXPECT_EQ(there->runs().size(), 0u);
}

// The evacuation is written after the copy from which the store returns.
TEST_F(EvacuationTest, StoreThatReturnsFromACopyDoesNotEndAnEvacuation)
{
    m_deployment.declare(1);
    addWorker("plain", "there");
    addWorker("plain", "here");
    m_deployment.m_store->takeCopy();
    start(2);
    evacuate("there");
    ASSERT_TRUE(eventually([this] { return allHavePool("plain", 1); }));
    m_deployment.m_store->returnToCopy(Millis(200));
    ASSERT_TRUE(eventually(
        [this] { return view(0)->m_evacuations.m_position.m_era == m_deployment.m_store->era(); }));
    EXPECT_TRUE(allHavePool("plain", 1));
    evacuate("there");
    std::this_thread::sleep_for(Seconds(6));
    EXPECT_TRUE(allHavePool("plain", 1));
}

TEST_F(EvacuationTest, ColdEndpointGetsNoMoreRequestsThanItTolerates)
{
    m_deployment.m_bounds.m_coldLimits = { 1.5, 5 };
    m_deployment.m_store->put(
        "config", "main",
        R"({"version":1,"routes":[{"name":"safe","host":"host.example","pathPrefix":"/safe/",)"
        R"("kind":"safe","timeoutMs":2500,"aimMs":200,"maxAttempts":2,"priority":1,)"
        R"("service":"plain"}],"services":[{"name":"plain","maxConns":100,"coldPerS":6}],)"
        R"("limits":{},"tenants":[{"name":"one","apiKeys":["key-of-one"]}]})");
    // The first one by id is preferred while both are idle.
    HostedWorker &cold = addWorker("plain", "here", Seconds(60));
    addWorker("plain", "here");
    start(2);
    ASSERT_TRUE(eventually([this] { return view(0)->m_peersKnown && view(1)->m_peersKnown; }));
    const TimePoint begun = Clock::now();
    size_t sent = 0;
    while (Clock::now() < begun + Seconds(1))
        EXPECT_EQ(m_deployment.call({}, sent++ % 2).m_status, 200u);
    // 6 a second with the overshoot and the slack: 14.
    EXPECT_LE(cold->runs().size(), 14u);
    EXPECT_GE(cold->runs().size(), 1u);
    EXPECT_GT(sent, 60u);
}

} // namespace
} // namespace stackquay::platform
