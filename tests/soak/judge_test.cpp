// The judge's checks one by one: each reports its breach, and nothing where it is allowed.

#include <csignal>

#include <gtest/gtest.h>

#include "tests/soak/judge.h"
#include "tests/soak/traffic.h"

namespace stackquay::soak {
namespace {

/// Two VMs, one request that is served well, and a configuration that replaces a key.
class JudgeTest : public testing::Test
{
protected:
    JudgeTest()
    {
        m_seen.m_calmFrom = Seconds(20);
        m_seen.m_end = Seconds(40);
        m_seen.m_versions = { { 1, Millis(-5'000), "plain", "key-0" },
                              { 2, Seconds(10), "spare", "key-1" } };
        m_seen.m_starts = { { 0, Millis(-5'000) }, { 1, Millis(-5'000) } };
        m_seen.m_workers = { { "worker-1", 0, "plain", {}, {} },
                             { "worker-2", 1, "model", {}, {} } };
        m_seen.m_memoryUnusedFrom = Seconds(20);
        addServed("request-0", Seconds(34), Traffic::Safe);
    }

    void addServed(const std::string &id, Millis at, Traffic traffic)
    {
        const bool stream = traffic >= Traffic::Stream;
        SentRequest request;
        request.m_id = id;
        request.m_traffic = traffic;
        request.m_key = TrafficSource::LastingKey;
        request.m_path = stream ? "/once/0/4/10" : "/safe/10/0/0";
        request.m_body = "entry " + id;
        request.m_events = stream ? 4 : 0;
        request.m_begun = at;
        request.m_sent = at + Millis(1);
        request.m_ended = at + Millis(500);
        request.m_deadline = Seconds(4);
        request.m_status = 200;
        request.m_whole = true;
        request.m_answeredId = id;
        request.m_worker = stream ? "" : "worker-1";
        request.m_seal = "seal";
        request.m_answer = stream ? streamText(4) : "answer of worker-1 to " + request.m_body;
        m_seen.m_requests.push_back(request);
        SeenRun run;
        run.m_requestId = id;
        run.m_worker = stream ? "worker-2" : "worker-1";
        run.m_slot = stream ? 1 : 0;
        run.m_service = stream ? "model" : "plain";
        run.m_tenant = tenantOf(at < Seconds(10) ? 1 : 2);
        run.m_path = request.m_path;
        run.m_body = request.m_body;
        run.m_from = at + Millis(5);
        run.m_until = at + Millis(490);
        m_seen.m_runs.push_back(run);
    }

    SentRequest &request() { return m_seen.m_requests.back(); }
    SeenRun &run() { return m_seen.m_runs.back(); }

    /// The last request ends without an answer, this long after the SIGTERM of its VM.
    void cutAfterStop(Millis after)
    {
        const Millis stop = request().m_ended - after;
        m_seen.m_exits.push_back({ 0, stop + Millis(7'300), 0, 0, stop, false, false });
        m_seen.m_disruptions.push_back(
            { Place::Vm, 0, stop, stop + Millis(7'800), true, "SIGTERM" });
        request().m_status = 0;
        request().m_whole = false;
        request().m_answeredId.clear();
        request().m_seal.clear();
    }

    std::string rules() const
    {
        std::string text;
        for (const Violation &violation : judge(m_seen))
            text += (text.empty() ? "" : " ") + violation.m_rule;
        return text;
    }

    Observations m_seen;
};

TEST_F(JudgeTest, FindsNothingWhereAllIsWell)
{
    addServed("request-1", Seconds(5), Traffic::Once);
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, ReportsAReadRequestThatEndsWithoutAnAnswer)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    cutAfterStop(Millis(3'500));
    const auto found = judge(m_seen);
    ASSERT_EQ(found.size(), 1u);
    EXPECT_EQ(found[0].m_rule, "LOST");
    EXPECT_EQ(found[0].m_request, "request-1");
    EXPECT_NE(toString(found[0]).find("sent 3001 ms"), std::string::npos) << toString(found[0]);
}

TEST_F(JudgeTest, ReportsADroppedRequestThatReachedNoWorker)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    cutAfterStop(Millis(3'500));
    m_seen.m_runs.pop_back();
    EXPECT_EQ(rules(), "LOST");
}

TEST_F(JudgeTest, AllowsARequestThatCrossesTheClose)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    cutAfterStop(Millis(3'500));
    m_seen.m_runs.pop_back();
    request().m_ended = *request().m_sent + Millis(50);
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, AllowsALossBySigkillWorkerOrDeadline)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    cutAfterStop(Millis(3'500));
    m_seen.m_disruptions.push_back(
        { Place::Vm, 0, Millis(5'300), Millis(6'000), false, "SIGKILL" });
    EXPECT_EQ(rules(), "");
    m_seen.m_disruptions.back().m_subject = 1; // Another VM's excuses nothing.
    EXPECT_EQ(rules(), "LOST");
    m_seen.m_disruptions.pop_back();
    run().m_until.reset();
    EXPECT_EQ(rules(), "");
    run().m_until = request().m_ended;
    request().m_deadline = Millis(400);
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, ReportsAStreamCutByADaemonDuringOrAfterAPause)
{
    addServed("request-1", Seconds(5), Traffic::Once);
    request().m_whole = false;
    request().m_answer = streamText(2);
    run().m_until = request().m_ended;
    EXPECT_EQ(rules(), "LOST");
    m_seen.m_disruptions.push_back(
        { Place::WorkerPause, 1, Millis(5'100), Millis(6'200), false, "endpoints pause" });
    EXPECT_EQ(rules(), "LOST");
    EXPECT_NE(toString(judge(m_seen)[0]).find("its worker paused from 5100 to 5500 ms"),
              std::string::npos);
    m_seen.m_disruptions.back().m_until = Millis(5'300);
    EXPECT_EQ(rules(), "LOST");
    request().m_status = 0; // Cut before the head.
    request().m_answer.clear();
    EXPECT_EQ(rules(), "LOST");
}

TEST_F(JudgeTest, ReportsAnErrorForARequestThatAPausedWorkerHadTaken)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    request().m_status = 502;
    EXPECT_EQ(rules(), "");
    m_seen.m_disruptions.push_back(
        { Place::WorkerPause, 0, Millis(5'100), Millis(6'200), false, "endpoints pause" });
    EXPECT_EQ(rules(), "LOST");
    request().m_status = 200; // Delayed, and served.
    EXPECT_EQ(rules(), "");
    request().m_status = 504;
    request().m_deadline = Millis(500);
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, AllowsAClientThatLeavesAPausedStream)
{
    addServed("request-1", Seconds(5), Traffic::Once);
    request().m_whole = false;
    request().m_answer = streamText(2);
    m_seen.m_disruptions.push_back(
        { Place::WorkerPause, 1, Millis(5'100), Millis(6'200), false, "endpoints pause" });
    request().m_gaveUp = true;
    EXPECT_EQ(rules(), "");
    request().m_gaveUp = false;
    request().m_deadline = Millis(500);
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, AllowsOnlyAPauseThatAnswersCannotMakeUpForInTheGrace)
{
    addServed("request-1", Seconds(5), Traffic::Once);
    request().m_path = run().m_path = "/once/0/60/100";
    request().m_deadline = Seconds(20);
    request().m_ended = Millis(11'500);
    run().m_until = request().m_ended;
    cutAfterStop(Millis(7'300));
    EXPECT_EQ(rules(), "LOST");
    m_seen.m_disruptions.push_back(
        { Place::WorkerPause, 1, Millis(8'000), Millis(9'000), false, "endpoints pause" });
    EXPECT_EQ(rules(), "");
    m_seen.m_disruptions.back().m_subject = 0; // Another worker's.
    EXPECT_EQ(rules(), "LOST");
    m_seen.m_disruptions.back().m_subject = 1;
    m_seen.m_disruptions.back().m_until = Millis(8'200); // There was time to make up for it.
    EXPECT_EQ(rules(), "LOST");
    m_seen.m_disruptions.back().m_until = Millis(9'000);
    request().m_path = run().m_path = "/once/0/66/100"; // Too long without a pause.
    EXPECT_EQ(rules(), "LOST");
    request().m_path = run().m_path = "/once/0/60/100";
    m_seen.m_exits.back().m_terminated = Millis(5'500); // Cut before the end of the grace.
    EXPECT_EQ(rules(), "LOST");
}

TEST_F(JudgeTest, CountsTheGraceOfAMovedStreamFromItsFirstRun)
{
    addServed("request-1", Seconds(5), Traffic::Stream);
    request().m_path = run().m_path = "/stream/0/60/100";
    request().m_ended = Millis(11'500);
    request().m_deadline = Seconds(20);
    run().m_until = request().m_ended;
    cutAfterStop(Millis(7'300));
    SeenRun first = run();
    run().m_from = first.m_until.emplace(Millis(8'900)); // Workers are not seen in order of time.
    first.m_slot = 2;
    m_seen.m_runs.push_back(first);
    EXPECT_EQ(rules(), "LOST");
    m_seen.m_disruptions.push_back(
        { Place::WorkerPause, 2, Millis(8'000), Millis(9'000), false, "endpoints pause" });
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, ReportsASecondRunOnlyOfWhatMayNotBeRepeated)
{
    addServed("request-1", Seconds(5), Traffic::Safe);
    m_seen.m_runs.push_back(run());
    EXPECT_EQ(rules(), "");
    request().m_traffic = Traffic::Unsafe;
    EXPECT_EQ(rules(), "TWICE");
}

TEST_F(JudgeTest, ReportsARefusalOfWhatRan)
{
    for (const unsigned status : { 408u, 421u, 429u, 503u }) {
        addServed("request-" + std::to_string(status), Seconds(5), Traffic::Unsafe);
        request().m_status = status;
    }
    EXPECT_EQ(rules(), "REFUSED REFUSED REFUSED REFUSED");
}

TEST_F(JudgeTest, ReportsAnAnswerThatIsNotTheRequests)
{
    addServed("request-1", Seconds(5), Traffic::Once);
    request().m_answer = streamText(3); // Truncated, and looks whole.
    EXPECT_EQ(rules(), "MIXED");
    request().m_answer = streamText(4);
    request().m_answeredId = "request-0";
    EXPECT_EQ(rules(), "MIXED");
    request().m_answeredId = request().m_id;
    request().m_seal.clear();
    EXPECT_EQ(rules(), "MIXED");
}

TEST_F(JudgeTest, ReportsWhatNoClientAsked)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    run().m_body = "changed";
    EXPECT_EQ(rules(), "UNASKED");
    run().m_body = request().m_body;
    run().m_sawKey = true;
    EXPECT_EQ(rules(), "UNASKED");
    run().m_sawKey = false;
    run().m_requestId = "request-9";
    EXPECT_EQ(rules(), "MIXED UNASKED"); // The answer has no run of its own either.
}

TEST_F(JudgeTest, ReportsServiceUnderARevokedKeyWhateverTheTrouble)
{
    addServed("request-1", Millis(14'900), Traffic::Unsafe);
    request().m_key = "key-0";
    EXPECT_EQ(rules(), ""); // Within the bound.
    addServed("request-2", Millis(15'100), Traffic::Unsafe);
    request().m_key = "key-0";
    m_seen.m_disruptions.push_back({ Place::Store, 0, Seconds(9), Seconds(18), false, "down" });
    EXPECT_EQ(rules(), "REVOKED");
}

TEST_F(JudgeTest, ReportsDenials)
{
    addServed("request-1", Seconds(5), Traffic::Unsafe);
    request().m_status = 404;
    EXPECT_EQ(rules(), "DENIED");
    request().m_key = "key-1";
    request().m_begun = Millis(11'900);
    request().m_ended = Millis(11'950);
    EXPECT_EQ(rules(), ""); // Not yet known for long enough.
    request().m_begun = Millis(12'100);
    run().m_from = Millis(12'105);
    run().m_tenant = tenantOf(2);
    EXPECT_EQ(rules(), "KEY");
}

TEST_F(JudgeTest, ReportsWorkForAWorkerThatLeft)
{
    addServed("request-1", Seconds(8), Traffic::Unsafe);
    m_seen.m_workers[0].m_leaving = Millis(6'100);
    m_seen.m_requests.erase(m_seen.m_requests.begin()); // Ran there as well.
    m_seen.m_runs.erase(m_seen.m_runs.begin());
    addServed("request-2", Seconds(34), Traffic::Once);
    EXPECT_EQ(rules(), "");
    m_seen.m_workers[0].m_leaving = Millis(5'900);
    EXPECT_EQ(rules(), "DRAIN");
    m_seen.m_disruptions.push_back({ Place::Store, 0, Seconds(5), Seconds(6), false, "down" });
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, ReportsOldAndWrongRoutes)
{
    addServed("request-1", Seconds(5), Traffic::Safe);
    run().m_service = "spare";
    EXPECT_EQ(rules(), "ROUTE");
    request().m_traffic = Traffic::Moving;
    EXPECT_EQ(rules(), "ROUTE"); // Before the configuration that moves it.
    run().m_service = "plain";
    EXPECT_EQ(rules(), "");
    addServed("request-3", Seconds(5), Traffic::Stream);
    request().m_path = run().m_path = "/sole/0/4/10";
    EXPECT_EQ(rules(), "ROUTE");
    run().m_service = "sole";
    EXPECT_EQ(rules(), "");
    addServed("request-2", Millis(12'100), Traffic::Safe);
    run().m_tenant = tenantOf(1);
    EXPECT_EQ(rules(), "CONFIG");
}

TEST_F(JudgeTest, ReportsAVmThatGoesBack)
{
    addServed("request-1", Millis(10'500), Traffic::Safe);
    addServed("request-2", Millis(10'800), Traffic::Safe);
    run().m_tenant = tenantOf(1);
    EXPECT_EQ(rules(), "REVERT");
    m_seen.m_starts.push_back({ 0, Millis(10'700) }); // A new process knows nothing.
    EXPECT_EQ(rules(), "");
}

TEST_F(JudgeTest, ReportsMemoryThatStaysSetAside)
{
    m_seen.m_memory.push_back({ Millis(23'900), "worker-2", 1, 1'000 });
    EXPECT_EQ(rules(), "");
    m_seen.m_memory.push_back({ Millis(24'100), "worker-2", 1, 1'000 });
    EXPECT_EQ(rules(), "LEAK");
}

TEST_F(JudgeTest, ReportsEndsThatNobodyOrdered)
{
    m_seen.m_exits.push_back({ 0, Seconds(5), 0, SIGSEGV, {}, false, false });
    EXPECT_EQ(rules(), "EXIT");
    m_seen.m_exits.back().m_killed = true;
    EXPECT_EQ(rules(), "");
    m_seen.m_exits.push_back({ 1, Seconds(13), 0, SIGKILL, Seconds(5), false, true });
    EXPECT_EQ(rules(), "EXIT"); // Beyond its grace.
}

TEST_F(JudgeTest, ReportsServiceThatIsNotRegained)
{
    addServed("request-1", Seconds(35), Traffic::Safe);
    request().m_key = "key-0";
    request().m_status = 401; // As it should: the key was replaced.
    m_seen.m_runs.pop_back();
    EXPECT_EQ(rules(), "");
    m_seen.m_requests.front().m_status = 503;
    EXPECT_EQ(rules(), "RECOVER");
}

} // namespace
} // namespace stackquay::soak
