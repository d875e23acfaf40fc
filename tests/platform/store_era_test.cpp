// A store that was away and comes back from a copy some seconds old.
//
// What was written since the copy is lost, and its revisions are given out again for other changes.
// The store says so by its era.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

constexpr Millis Away{ 300 };
/// Within this time of the return, each VM that lives is registered again.
constexpr Seconds ListedAgainBy{ 5 };

class StoreEraTest : public testing::Test
{
protected:
    void start(size_t daemons)
    {
        m_deployment.declare(1);
        m_deployment.addWorker("plain");
        m_deployment.m_store->takeCopy();
        for (size_t i = 0; i < daemons; ++i)
            m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
    }

    /// Changes that the copy lacks, so that the lost revisions are far above those of the copy.
    void writeWhatIsLost()
    {
        constexpr int Changes = 200;
        for (int i = 0; i < Changes; ++i)
            m_deployment.m_store->put("elsewhere", "x", std::to_string(i));
        m_deployment.describe(*m_deployment.m_workers[0], "plain", "ready");
    }

    RelayViewPtr view(size_t daemon)
    {
        return m_deployment.m_daemons[daemon]->node().m_view.load();
    }

    bool allKnowEndpoints(size_t count)
    {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            if (view(i)->m_directory->m_endpoints.size() != count)
                return false;
        }
        return true;
    }

    bool allKnowVersion(uint64_t version)
    {
        return std::all_of(m_deployment.m_daemons.begin(), m_deployment.m_daemons.end(),
                           [version](const auto &daemon) {
                               return daemon->node().m_view.load()->m_routes->m_version == version;
                           });
    }

    bool allRegistered()
    {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            if (!m_deployment.m_store->exists("stackquay-vms", "vm-" + std::to_string(i + 1)))
                return false;
        }
        return true;
    }

    Deployment m_deployment;
};

// The directory of the former era has the higher revision, and outranks all that is true now.
TEST_F(StoreEraTest, WhatIsWrittenAfterTheReturnReachesAllVms)
{
    start(3);
    writeWhatIsLost();
    // The worker comes with a revision that VMs without duty hear of from peers.
    m_deployment.addWorker("plain");
    ASSERT_TRUE(eventually([this] { return allKnowEndpoints(2); }));
    m_deployment.m_store->returnToCopy(Away);
    std::this_thread::sleep_for(Away);
    m_deployment.describe(*m_deployment.m_workers[1], "plain");
    m_deployment.addWorker("plain");
    EXPECT_TRUE(eventually([this] { return allKnowEndpoints(3); }, Seconds(4)));
}

// In the copy an endpoint that left is there, and one that drains is ready.
TEST_F(StoreEraTest, EndpointsThatLeftAreNotUsedAgain)
{
    start(3);
    auto &drains = *m_deployment.m_workers[0];
    auto &left = m_deployment.addWorker("plain");
    m_deployment.addWorker("plain");
    ASSERT_TRUE(eventually([this] { return allKnowEndpoints(3); }));
    m_deployment.m_store->takeCopy();
    m_deployment.describe(drains, "plain", "draining");
    m_deployment.m_store->remove("servers", left->id());
    const auto poolsOfOne = [this] {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            const auto *pool = poolOf(*view(i), ServiceId("plain"));
            if (!pool || pool->size() != 1)
                return false;
        }
        return true;
    };
    // The list after the start keeps what is missing for two seconds.
    ASSERT_TRUE(eventually(poolsOfOne, Seconds(4)));
    m_deployment.m_store->returnToCopy(Away);
    const TimePoint until = Clock::now() + Away + Seconds(3);
    while (Clock::now() < until) {
        ASSERT_TRUE(poolsOfOne());
        std::this_thread::sleep_for(Millis(10));
    }
}

TEST_F(StoreEraTest, EachVmIsRegisteredAgain)
{
    start(4);
    ASSERT_TRUE(eventually([this] { return allRegistered(); }));
    m_deployment.m_store->returnToCopy(Away);
    ASSERT_FALSE(allRegistered());
    EXPECT_TRUE(eventually([this] { return allRegistered(); }, Away + ListedAgainBy));
}

TEST_F(StoreEraTest, ConfigurationInForceNeverGoesBack)
{
    start(3);
    m_deployment.declare(5, "", R"(["key-of-two"])");
    ASSERT_TRUE(eventually([this] { return allKnowVersion(5); }));
    m_deployment.m_store->returnToCopy(Away);
    const TimePoint until = Clock::now() + Seconds(3);
    while (Clock::now() < until) {
        for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
            ASSERT_EQ(view(i)->m_routes->m_version, 5u);
            // The old key's version is all that the store has.
            ASSERT_NE(m_deployment.call({}, i).m_status, 200u);
        }
        std::this_thread::sleep_for(Millis(50));
    }
    m_deployment.declare(5, "", R"(["key-of-two"])");
    ClientRequest request;
    request.m_key = "key-of-two";
    EXPECT_TRUE(eventually([&] { return m_deployment.call(request, 1).m_status == 200; }));
}

// A reading of the older store says nothing of what the lost version may have taken away.
TEST_F(StoreEraTest, OlderConfigurationProvesNothingForTheLostOne)
{
    m_deployment.m_bounds.m_revocationTime = Millis(2'500);
    start(2);
    m_deployment.declare(5);
    ASSERT_TRUE(eventually([this] { return allKnowVersion(5); }));
    m_deployment.m_store->returnToCopy(Away);
    std::this_thread::sleep_for(Away + m_deployment.m_bounds.m_revocationTime);
    // One that starts now reads the older version, and tells it.
    m_deployment.addDaemon();
    std::this_thread::sleep_for(Millis(800));
    EXPECT_EQ(m_deployment.call({}, 0).m_status, 503u);
    EXPECT_EQ(m_deployment.call({}, 1).m_status, 503u);
}

} // namespace
} // namespace stackquay::platform
