// Endpoints that name the requests per second that they take from all VMs together.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

constexpr Seconds Window{ 4 };
/// A VM that received the limit must keep to it from then on.
constexpr Millis NoticeTime{ 500 };

/// Requests that the platform allows in each window: one and a half times the limit, and five.
size_t allowedRequests(double requestsPerSecond)
{
    return static_cast<size_t>(1.5 * requestsPerSecond * Window.count() + 5);
}

/// The largest number of @p arrivals after @p from within a window.
size_t busiestWindow(const std::vector<TimePoint> &arrivals, TimePoint from)
{
    size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
         first != arrivals.end(); ++first) {
        const auto last = std::lower_bound(first, arrivals.end(), *first + Window);
        most = std::max(most, static_cast<size_t>(last - first));
    }
    return most;
}

class LimitedEndpointTest : public testing::Test
{
protected:
    void start(size_t daemons)
    {
        m_deployment.declare(1);
        for (size_t i = 0; i < daemons; ++i)
            m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
        ASSERT_TRUE(eventually([this] {
            return std::all_of(
                m_deployment.m_daemons.begin(), m_deployment.m_daemons.end(),
                [](const auto &daemon) { return daemon->node().m_view.load()->m_peersKnown; });
        }));
    }

    /// Sends @p request to all daemons in turn for @p time. Returns how many were served.
    size_t load(const ClientRequest &request, Duration time)
    {
        size_t sent = 0;
        size_t served = 0;
        std::vector<std::future<ClientAnswer>> answers;
        const TimePoint until = Clock::now() + time;
        while (Clock::now() < until) {
            answers.push_back(m_deployment.begin(request, sent++ % m_deployment.m_daemons.size()));
            std::this_thread::sleep_for(Millis(20));
        }
        for (auto &answer : answers)
            served += answer.get().m_status == 200 ? 1 : 0;
        m_sent = sent;
        return served;
    }

    /// Three VMs under load keep to the @p limit of one of two endpoints, and serve all requests.
    void expectLimitIsKept(const std::string &service, const ClientRequest &request, double limit)
    {
        HostedWorker &limited = m_deployment.addWorker(service);
        m_deployment.addWorker(service);
        start(3);
        limited->setLimit(limit);
        const TimePoint named = Clock::now();
        EXPECT_EQ(load(request, Seconds(7)), m_sent);
        EXPECT_LE(busiestWindow(limited->arrivalTimes(), named + NoticeTime),
                  allowedRequests(limit));
    }

    Deployment m_deployment;
    size_t m_sent = 0; ///< Requests of the last load().
};

TEST_F(LimitedEndpointTest, VmsTogetherSendNoMoreThanTheEndpointNames)
{
    expectLimitIsKept("plain", {}, 1);
}

TEST_F(LimitedEndpointTest, VmsTogetherStartNoMoreStreamsThanTheEngineNames)
{
    expectLimitIsKept("model", streamRequest(), 1.6);
}

TEST_F(LimitedEndpointTest, EndpointIsUsedAgainOnceItNamesNoLimit)
{
    HostedWorker &limited = m_deployment.addWorker("plain");
    m_deployment.addWorker("plain");
    start(3);
    limited->setLimit(1);
    load({}, Seconds(2));
    limited->setLimit(std::nullopt);
    EXPECT_EQ(load({}, Seconds(6)), m_sent);
    const auto arrivals = limited->arrivalTimes();
    const auto lately = std::count_if(
        arrivals.begin(), arrivals.end(),
        [from = Clock::now() - Seconds(1)](TimePoint arrival) { return arrival >= from; });
    EXPECT_GE(lately, 10);
}

TEST_F(LimitedEndpointTest, VmThatStartsSendsNoMoreThanTheEndpointNames)
{
    HostedWorker &limited = m_deployment.addWorker("plain");
    m_deployment.addWorker("plain");
    start(3);
    constexpr double Limit = 1;
    limited->setLimit(Limit);
    const TimePoint named = Clock::now();
    load({}, Seconds(2));
    m_deployment.m_daemons.pop_back();
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    load({}, Seconds(5));
    EXPECT_LE(busiestWindow(limited->arrivalTimes(), named + NoticeTime), allowedRequests(Limit));
}

TEST_F(LimitedEndpointTest, RequestThatNoEndpointTakesIsRefusedAtOnce)
{
    HostedWorker &limited = m_deployment.addWorker("plain");
    start(2);
    constexpr double Limit = 0.5;
    limited->setLimit(Limit);
    const TimePoint named = Clock::now();
    size_t refused = 0;
    for (int i = 0; i < 20; ++i) {
        const ClientAnswer answer = m_deployment.call({}, i % 2);
        if (answer.m_status == 200)
            continue;
        ++refused;
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_NE(answer.header("Retry-After"), "");
        EXPECT_LT(answer.m_took, Millis(150));
    }
    EXPECT_GE(refused, 10u);
    EXPECT_LE(busiestWindow(limited->arrivalTimes(), named), allowedRequests(Limit));
}

} // namespace
} // namespace stackquay::platform
