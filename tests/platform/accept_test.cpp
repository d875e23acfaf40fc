// A daemon that is ready takes new connections.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

class AcceptTest : public testing::Test
{
protected:
    static constexpr uint32_t Connections = 4;

    void start()
    {
        m_deployment.m_connections = Connections;
        m_deployment.declare(1);
        m_deployment.addWorker("plain");
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    /// Opens all the connections that the daemon takes; each sends its request after @p after.
    std::vector<std::future<ClientAnswer>> fill(Millis after)
    {
        std::vector<std::future<ClientAnswer>> answers;
        for (uint32_t i = 0; i < Connections; ++i) {
            ClientRequest request;
            request.m_id = "request-" + std::to_string(i);
            request.m_sendAfter = after;
            answers.push_back(m_deployment.begin(request));
        }
        std::this_thread::sleep_for(Millis(100));
        return answers;
    }

    Deployment m_deployment;
};

TEST_F(AcceptTest, IdleConnectionsMakeRoomForNewOnes)
{
    start();
    auto idle = fill(Millis(1'500));
    for (int i = 0; i < 3; ++i) {
        const ClientAnswer answer = m_deployment.call({});
        EXPECT_EQ(answer.m_status, 200u);
    }
    EXPECT_EQ(m_deployment.readyStatus(), 200u);
}

TEST_F(AcceptTest, DaemonWhoseConnectionsAreAllBusyIsNotReady)
{
    start();
    (**m_deployment.m_workers[0]).setDelay(Millis(350));
    auto busy = fill(Millis(0));
    EXPECT_EQ(m_deployment.readyStatus(), 503u);
    auto waiting = m_deployment.begin({});
    for (auto &answer : busy)
        EXPECT_EQ(answer.get().m_status, 200u);
    EXPECT_EQ(waiting.get().m_status, 200u); // Not closed meanwhile.
    EXPECT_TRUE(eventually([&] { return m_deployment.readyStatus() == 200; }));
}

} // namespace
} // namespace stackquay::platform
