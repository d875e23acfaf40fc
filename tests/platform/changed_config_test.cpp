// Changes of the configuration while answers are in progress.
#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

// A shorter idle timeout must not close a connection whose answer waits for a silent endpoint, and
// a route, service or key that is removed must not end what began under it.
TEST(ChangedConfigTest, AnswerInProgressOutlivesItsRouteAndKeyAndAShorterIdleTimeout)
{
    Deployment deployment;
    deployment.declare(1);
    HostedWorker &worker = deployment.addWorker("model");
    worker->setEvents(3, Millis(600));
    deployment.addDaemon();
    ASSERT_TRUE(deployment.awaitReady());
    auto answer = deployment.begin(streamRequest("/long/x"));
    ASSERT_TRUE(eventually([&] { return worker->arrivals() == 1; }));
    deployment.m_store->put("config", "main",
                            R"({"version":2,"routes":[],"services":[],"limits":{)"
                            R"("maxHeaderBytes":16384,"maxBodyBytes":1,"headerTimeoutMs":50,)"
                            R"("idleTimeoutMs":50},"tenants":[{"name":"one",)"
                            R"("apiKeys":["another"],"priority":2}]})");
    ASSERT_TRUE(eventually([&] { return deployment.call({}).m_status == 404; }, Millis(1'000)));
    const ClientAnswer whole = answer.get();
    EXPECT_EQ(whole.m_status, 200u);
    EXPECT_TRUE(whole.m_whole);
    EXPECT_EQ(whole.m_body, eventsText(1, 3));
    EXPECT_EQ(worker->arrivals(), 1u);
}

} // namespace
} // namespace stackquay::platform
