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

    size_t runsOf(const std::string &id)
    {
        size_t runs = 0;
        for (const auto &one : m_deployment.m_workers) {
            for (const WorkerRun &run : (**one).runs())
                runs += run.m_requestId == id ? 1 : 0;
        }
        return runs;
    }
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
    for (ClientRequest request :
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

} // namespace
} // namespace stackquay::platform
