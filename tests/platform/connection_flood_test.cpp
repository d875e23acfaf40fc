// Most new connections come to one VM for some seconds.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

/// Of the share that was served before, the share that has to be served meanwhile.
constexpr double MinShare = 0.75;

class ConnectionFloodTest : public testing::Test
{
protected:
    /// Of the requests on new connections that a daemon has read, those served at once.
    struct Counts {
        size_t m_read = 0;
        size_t m_served = 0;

        double share() const { return double(m_served) / double(std::max<size_t>(m_read, 1)); }
    };

    Counts load(const ClientRequest &request, Duration time, Duration gap)
    {
        std::vector<std::future<ClientAnswer>> answers;
        const TimePoint until = Clock::now() + time;
        while (Clock::now() < until) {
            answers.push_back(m_deployment.begin(request));
            std::this_thread::sleep_for(gap);
        }
        Counts counts;
        for (auto &answer : answers) {
            const unsigned status = answer.get().m_status;
            counts.m_read += status != 0 ? 1 : 0;
            counts.m_served += status == 200 ? 1 : 0;
        }
        return counts;
    }

    void expectServed(const std::string &service, const ClientRequest &request)
    {
        m_deployment.m_connections = 64;
        m_deployment.m_millicores = 120;
        m_deployment.declare(1);
        for (int i = 0; i < 3; ++i)
            m_deployment.addWorker(service);
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        const Counts calm = load(request, Seconds(1), Millis(40));
        const Counts flood = load(request, Seconds(3), Millis(2));
        EXPECT_GE(flood.m_read, 500u);
        EXPECT_GE(flood.share(), MinShare * calm.share());
        EXPECT_GE(calm.share(), 0.95);
    }

    Deployment m_deployment;
};

TEST_F(ConnectionFloodTest, RequestsThatWereReadAreServed)
{
    expectServed("plain", {});
}

TEST_F(ConnectionFloodTest, StreamsThatWereReadAreServed)
{
    expectServed("model", streamRequest());
}

} // namespace
} // namespace stackquay::platform
