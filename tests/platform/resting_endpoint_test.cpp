// Endpoints that turn a VM's requests away for a time that they name.

#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

/// Requests that are on their way when an endpoint asks for rest.
constexpr Millis NoticeTime{ 500 };
constexpr ptrdiff_t MaxArrivals = 2;

class RestingEndpointTest : public testing::Test
{
protected:
    void start(size_t daemons = 1)
    {
        m_deployment.declare(1);
        for (size_t i = 0; i < daemons; ++i)
            m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
    }

    /// Sends @p request to the first daemon every 20 ms. Returns how many were served.
    size_t load(const ClientRequest &request, Duration time)
    {
        std::vector<std::future<ClientAnswer>> answers;
        const TimePoint until = Clock::now() + time;
        while (Clock::now() < until) {
            answers.push_back(m_deployment.begin(request));
            std::this_thread::sleep_for(Millis(20));
        }
        size_t served = 0;
        for (auto &answer : answers)
            served += answer.get().m_status == 200 ? 1 : 0;
        m_sent = answers.size();
        return served;
    }

    static void rest(HostedWorker &worker, const std::string &retryAfter)
    {
        worker->setRetryAfter(retryAfter);
        worker->setMode(WorkerMode::Full);
    }

    /// Arrivals from half a second after the first one until @p time after it.
    static ptrdiff_t arrivalsInRest(HostedWorker &worker, Duration time)
    {
        const auto arrivals = worker->arrivalTimes();
        if (arrivals.empty())
            return 0;
        return std::count_if(arrivals.begin(), arrivals.end(), [&](TimePoint at) {
            return at > arrivals.front() + NoticeTime && at < arrivals.front() + time;
        });
    }

    void expectRestIsKept(const std::string &service, const ClientRequest &request)
    {
        constexpr size_t Resting = 3;
        // Busy, so that the others have the least load.
        for (size_t i = 0; i <= Resting; ++i) {
            HostedWorker &worker = m_deployment.addWorker(service);
            worker->setDelay(Millis(100));
            worker->setEvents(5, Millis(20));
        }
        start();
        for (size_t i = 0; i < Resting; ++i)
            rest(*m_deployment.m_workers[i], "2.5");
        EXPECT_EQ(load(request, Millis(2'400)), m_sent);
        for (size_t i = 0; i < Resting; ++i)
            EXPECT_LE(arrivalsInRest(*m_deployment.m_workers[i], Millis(2'500)), MaxArrivals);
        EXPECT_GE((*m_deployment.m_workers[0])->arrivals(), 1u);
    }

    Deployment m_deployment;
    size_t m_sent = 0; ///< Requests of the last load().
};

TEST_F(RestingEndpointTest, ServiceThatAsksForRestGetsNoRequests)
{
    expectRestIsKept("plain", {});
}

TEST_F(RestingEndpointTest, EngineThatAsksForRestGetsNoRequests)
{
    expectRestIsKept("model", streamRequest());
}

TEST_F(RestingEndpointTest, EndpointIsUsedAgainAfterItsRest)
{
    HostedWorker &resting = m_deployment.addWorker("plain");
    m_deployment.addWorker("plain");
    start();
    rest(resting, "1");
    load({}, Millis(500));
    resting->setMode(WorkerMode::Serve);
    load({}, Seconds(2));
    EXPECT_GE(resting->runs().size(), 10u);
}

TEST_F(RestingEndpointTest, RequestsAreRefusedAtOnceWhileAllEnginesRest)
{
    HostedWorker &one = m_deployment.addWorker("model");
    HostedWorker &other = m_deployment.addWorker("model");
    start();
    rest(one, "2");
    rest(other, "2");
    ClientRequest request = streamRequest();
    request.m_deadline = Millis(900); // All engines rest for longer.
    const TimePoint until = Clock::now() + Millis(800);
    size_t refused = 0;
    while (Clock::now() < until) {
        const ClientAnswer answer = m_deployment.call(request);
        EXPECT_EQ(answer.m_status, 503u);
        EXPECT_LT(answer.m_took, Millis(300));
        const double retryAfter = std::atof(answer.header("Retry-After").c_str());
        EXPECT_GT(retryAfter, 0);
        EXPECT_LE(retryAfter, 2.4);
        ++refused;
        std::this_thread::sleep_for(Millis(20));
    }
    EXPECT_GE(refused, 20u);
    EXPECT_LE(arrivalsInRest(one, Seconds(2)), MaxArrivals);
    EXPECT_LE(arrivalsInRest(other, Seconds(2)), MaxArrivals);
    one->setMode(WorkerMode::Serve);
    // A request whose caller stays for long enough waits for the end of the rest.
    request.m_deadline = Millis(2'400);
    EXPECT_EQ(m_deployment.call(request).m_status, 200u);
    EXPECT_LE(arrivalsInRest(one, Seconds(2)), MaxArrivals);
}

TEST_F(RestingEndpointTest, MalformedTimesAskForNoRest)
{
    HostedWorker &worker = m_deployment.addWorker("plain");
    start();
    for (const char *text : { "0", "-3", "soon", "1 2", "nan", "inf", "1e400" }) {
        rest(worker, text);
        EXPECT_EQ(m_deployment.call({}).m_status, 503u) << text;
        worker->setMode(WorkerMode::Serve);
        EXPECT_EQ(m_deployment.call({}).m_status, 200u) << text;
    }
}

class LeavingEndpointTest : public RestingEndpointTest
{
protected:
    /// How long an endpoint serves after it has announced its end.
    static constexpr Millis DrainTime{ 2'000 };

    /// Requests that reached @p worker later than the drain time after @p announced.
    static ptrdiff_t lateArrivals(HostedWorker &worker, TimePoint announced)
    {
        const auto arrivals = worker->arrivalTimes();
        return std::count_if(arrivals.begin(), arrivals.end(),
                             [announced](TimePoint at) { return at > announced + DrainTime; });
    }

    void expectNothingIsSent(const std::string &service, const ClientRequest &request)
    {
        HostedWorker &leaving = m_deployment.addWorker(service);
        m_deployment.addWorker(service);
        start();
        leaving->setLeaving(true);
        load(request, Millis(500));
        const TimePoint announced = Clock::now();
        leaving->setLeaving(false);
        EXPECT_EQ(load(request, DrainTime + Seconds(1)), m_sent);
        EXPECT_GE(leaving->arrivals(), 1u);
        EXPECT_EQ(lateArrivals(leaving, announced), 0);
    }
};

TEST_F(LeavingEndpointTest, ServiceThatAnnouncesItsEndGetsNoRequests)
{
    expectNothingIsSent("plain", {});
}

TEST_F(LeavingEndpointTest, EngineThatAnnouncesItsEndGetsNoRequests)
{
    expectNothingIsSent("model", streamRequest());
}

TEST_F(LeavingEndpointTest, RefusalAnnouncesItToo)
{
    HostedWorker &leaving = m_deployment.addWorker("plain");
    m_deployment.addWorker("plain");
    start();
    leaving->setLeaving(true);
    leaving->setMode(WorkerMode::Full);
    load({}, Millis(500));
    const TimePoint announced = Clock::now();
    leaving->setLeaving(false);
    leaving->setMode(WorkerMode::Serve);
    EXPECT_EQ(load({}, DrainTime + Seconds(1)), m_sent);
    EXPECT_EQ(lateArrivals(leaving, announced), 0);
}

TEST_F(LeavingEndpointTest, LaterProcessUnderItsIdIsUsed)
{
    HostedWorker &leaving = m_deployment.addWorker("plain");
    m_deployment.describeProcess(leaving, "plain", 1'000);
    m_deployment.addWorker("plain");
    start();
    leaving->setLeaving(true);
    load({}, Millis(500));
    leaving->setLeaving(false);
    leaving->restart();
    m_deployment.describeProcess(leaving, "plain", 2'000);
    const uint32_t before = leaving->arrivals();
    EXPECT_TRUE(eventually([&] {
        load({}, Millis(200));
        return leaving->arrivals() > before;
    }));
}

} // namespace
} // namespace stackquay::platform
