// Deliberate faults, end to end: the soak's clients before a part that breaks a rule.

#include <thread>

#include <gtest/gtest.h>

#include "platform/standin/worker_standin.h"
#include "standin/hosted.h"
#include "tests/soak/judge.h"
#include "tests/soak/traffic.h"

namespace stackquay::soak {
namespace {

using platform::WorkerMode;
using platform::WorkerRun;
using platform::WorkerStandin;

/// Says that it is ready; reads all other requests and answers none.
class DroppingDaemon
{
public:
    explicit DroppingDaemon(FiberThread &thread)
        : m_server(thread, [&thread](HttpExchange &exchange) {
            if (exchange.request().path() == "/ready") {
                exchange.respond({ 200, {}, "" });
                return;
            }
            constexpr Millis BeyondTheSlack{ 300 };
            (void)sleepFor(thread.context(), BeyondTheSlack);
            exchange.abort();
        })
    { }

    Result<Address> listen(const Address &address) { return m_server.listen(address); }

private:
    HttpServer m_server;
};

class SelfCheckTest : public testing::Test
{
protected:
    /// Sends to @p front for a while and judges. Runs at the worker count as the soak counts them.
    std::vector<Violation> judgeTraffic(const Address &front)
    {
        constexpr Millis Sending{ 4'000 };
        constexpr Seconds Patience{ 8 };
        Schedule schedule;
        schedule.m_seed = 1;
        schedule.m_keepers = 8;
        TrafficSource traffic(schedule, { { front, m_ready.address() } });
        traffic.setKeys({ TrafficSource::LastingKey, "" });
        traffic.watchReadiness();
        const TimePoint start = Clock::now();
        traffic.start(start);
        std::this_thread::sleep_for(Sending);
        traffic.finish(Patience);
        Observations seen;
        seen.m_requests = traffic.takeRequests();
        for (const WorkerRun &run : m_worker->runs()) {
            SeenRun one;
            one.m_requestId = run.m_requestId;
            one.m_worker = m_worker->id();
            one.m_until = std::chrono::duration_cast<Millis>(run.m_until - start);
            seen.m_runs.push_back(one);
        }
        EXPECT_GT(seen.m_requests.size(), 5u);
        return judge(seen);
    }

    static size_t countOf(const std::vector<Violation> &found, const std::string &rule)
    {
        return std::count_if(found.begin(), found.end(), [&](const Violation &violation) {
            return violation.m_rule == rule && !violation.m_request.empty();
        });
    }

    void startWorker(WorkerMode mode)
    {
        m_worker->setScript([](const HttpRequest &request) {
            const PathWork work = workOf(request.path());
            return platform::WorkerTask{ work.m_delay, work.m_events, work.m_gap };
        });
        m_worker->setMode(mode);
    }

    standin::Hosted<DroppingDaemon> m_ready;
    standin::Hosted<WorkerStandin> m_worker{ "worker-1" };
};

TEST_F(SelfCheckTest, WorkerThatKeepsTheRulesIsNotBlamed)
{
    startWorker(WorkerMode::Serve);
    const auto found = judgeTraffic(m_worker.address());
    for (const char *rule : { "LOST", "TWICE", "REFUSED", "MIXED" })
        EXPECT_EQ(countOf(found, rule), 0u) << rule;
}

TEST_F(SelfCheckTest, DaemonThatDropsReadRequestsIsReported)
{
    EXPECT_GT(countOf(judgeTraffic(m_ready.address()), "LOST"), 0u);
}

TEST_F(SelfCheckTest, WorkerThatPausesIsNotBlamedAndDelaysItsAnswers)
{
    constexpr Millis Pause{ 1'400 };
    startWorker(WorkerMode::Serve);
    TimePoint paused;
    TimePoint resumed;
    std::thread operation([&] {
        std::this_thread::sleep_for(Seconds(2));
        m_worker->setPaused(true);
        paused = Clock::now();
        std::this_thread::sleep_for(Pause);
        resumed = Clock::now();
        m_worker->setPaused(false);
    });
    const auto found = judgeTraffic(m_worker.address());
    operation.join();
    for (const char *rule : { "LOST", "TWICE", "REFUSED", "MIXED" })
        EXPECT_EQ(countOf(found, rule), 0u) << rule;
    constexpr Millis InProgress{ 50 }; // An answer may have passed the check before the pause.
    size_t taken = 0;
    for (const WorkerRun &run : m_worker->runs()) {
        taken += run.m_from > paused && run.m_from < resumed ? 1 : 0;
        EXPECT_FALSE(run.m_until > paused + InProgress && run.m_until < resumed);
    }
    EXPECT_GT(taken, 0u);
}

TEST_F(SelfCheckTest, WorkerThatRunsTwiceIsReported)
{
    startWorker(WorkerMode::RunsTwice);
    EXPECT_GT(countOf(judgeTraffic(m_worker.address()), "TWICE"), 0u);
}

TEST_F(SelfCheckTest, WorkerThatRefusesWhatItRanIsReported)
{
    m_worker->setFailureStatus(503);
    startWorker(WorkerMode::ServerError);
    EXPECT_GT(countOf(judgeTraffic(m_worker.address()), "REFUSED"), 0u);
}

TEST_F(SelfCheckTest, AnswersOfOtherRequestsAndUnsignedOnesAreReported)
{
    startWorker(WorkerMode::WrongId);
    EXPECT_GT(countOf(judgeTraffic(m_worker.address()), "MIXED"), 0u);
    startWorker(WorkerMode::Unsigned);
    EXPECT_GT(countOf(judgeTraffic(m_worker.address()), "MIXED"), 0u);
}

TEST_F(SelfCheckTest, CutAndShortenedStreamsAreReported)
{
    startWorker(WorkerMode::CutMidway);
    EXPECT_GT(countOf(judgeTraffic(m_worker.address()), "LOST"), 0u);
    startWorker(WorkerMode::SkipsEvent);
    EXPECT_GT(countOf(judgeTraffic(m_worker.address()), "MIXED"), 0u);
}

} // namespace
} // namespace stackquay::soak
