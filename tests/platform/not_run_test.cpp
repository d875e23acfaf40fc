// "Not run" is promised only if it is true of all attempts of a request.

#include <gtest/gtest.h>

#include "relayed_test.h"

namespace stackquay::platform {
namespace {

bool promisesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

ClientRequest onceRequest()
{
    return streamRequest("/once/x");
}

class NotRunTest : public RelayedTest
{
protected:
    void start(size_t plain, size_t models)
    {
        m_deployment.declare(1);
        for (size_t i = 0; i < plain; ++i)
            m_deployment.addWorker("plain");
        for (size_t i = 0; i < models; ++i)
            m_deployment.addWorker("model");
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    WorkerStandin &worker(size_t index) { return **m_deployment.m_workers[index]; }
};

class UnmarkedStatusTest : public NotRunTest, public testing::WithParamInterface<unsigned>
{ };

// The failure: the endpoint's status, which a client takes for a promise, was handed on.
TEST_P(UnmarkedStatusTest, EndpointThatRanARequestMakesNoPromiseByItsStatus)
{
    start(2, 2);
    for (size_t i = 0; i < 4; ++i) {
        worker(i).setFailureStatus(GetParam());
        worker(i).setMode(WorkerMode::ServerError);
    }
    for (const ClientRequest &request :
         { ClientRequest{}, unsafeRequest(), streamRequest(), onceRequest() }) {
        const ClientAnswer answer = m_deployment.call(request);
        EXPECT_FALSE(promisesNotRun(answer.m_status)) << request.m_path << " " << answer.m_status;
        EXPECT_EQ(answer.header("X-Response-Seal"), "") << request.m_path;
    }
    EXPECT_GT(m_deployment.totalRuns(), 3u);
}

TEST_P(UnmarkedStatusTest, RepeatableRequestRunsElsewhere)
{
    start(2, 0);
    worker(0).setFailureStatus(GetParam());
    worker(0).setMode(WorkerMode::ServerError);
    for (int i = 0; i < 6; ++i)
        EXPECT_EQ(m_deployment.call({}).m_status, 200u);
}

INSTANTIATE_TEST_SUITE_P(Statuses, UnmarkedStatusTest, testing::Values(408u, 429u, 503u));

// The failure: a second refusal of the same request, late on a kept connection, was taken for the
// answer to the next attempt, which ran.
class LateRefusalTest : public NotRunTest
{
protected:
    /// The worker with the first address takes the place of a process of which the store still has
    /// the entry. Sends a request that the entry misdirects.
    ClientAnswer callAcrossAddressReuse(size_t workers)
    {
        start(workers, 0);
        worker(0).setMode(WorkerMode::RepeatsRefusal);
        m_deployment.m_store->put("servers", "worker-0",
                                  R"({"service":"plain","address":")"
                                      + toString(m_deployment.m_workers[0]->address())
                                      + R"(","zone":"here","version":"v1","slots":8,)"
                                        R"("state":"ready","coldLeftMs":0,"seq":1})");
        EXPECT_TRUE(eventually([&] { return m_deployment.poolSize("plain") == workers + 1; }));
        const ClientAnswer answer = m_deployment.call(unsafeRequest());
        EXPECT_EQ(worker(0).arrivals(), 2u); // The first attempt expected the earlier process.
        return answer;
    }
};

TEST_F(LateRefusalTest, IsNoPromiseForTheNextAttempt)
{
    EXPECT_EQ(callAcrossAddressReuse(1).m_status, 200u);
    EXPECT_EQ(m_deployment.totalRuns(), 1u);
}

TEST_F(LateRefusalTest, DoesNotRunARequestTwice)
{
    EXPECT_EQ(callAcrossAddressReuse(2).m_status, 200u);
    EXPECT_EQ(m_deployment.totalRuns(), 1u);
}

// The failure: what was written to a connection that was given up was delivered once the link was
// back, and ran.
TEST_F(NotRunTest, RequestThatWasGivenUpDoesNotReachItsEndpointLater)
{
    m_deployment.declare(1);
    HostedWorker &worker = m_deployment.addWorker("plain");
    m_deployment.describe(worker, "plain", "ready", relayed(worker.address()));
    m_deployment.addDaemon();
    ASSERT_TRUE(m_deployment.awaitReady());
    ASSERT_EQ(m_deployment.call(unsafeRequest()).m_status, 200u);
    standin::RelayFault fault;
    fault.m_mode = standin::RelayMode::Pause;
    m_relay.setFault(fault);
    ClientRequest request = unsafeRequest();
    request.m_id = "request-late";
    request.m_deadline = Millis(500);
    EXPECT_EQ(m_deployment.call(request).m_status, 504u);
    m_relay.setFault({});
    std::this_thread::sleep_for(Millis(300));
    EXPECT_EQ(m_deployment.runsOf("request-late"), 0u);
}

} // namespace
} // namespace stackquay::platform
