/// Whole daemons in one process: what they answer, and in which states.
#include "daemon_fixture.h"

namespace stackquay {
namespace {

TEST_F(DaemonTest, AnswersWholeThroughTwoDaemons)
{
    declare(intent());
    Daemon &first = startDaemon("vm-1");
    Daemon &second = startDaemon("vm-2");
    awaitView(first, 2);
    awaitView(second, 2);
    const HttpResponse one = complete(first, 20, true);
    const HttpResponse two = complete(second, 20, true);
    for (const HttpResponse &answer : { one, two }) {
        EXPECT_EQ(answer.m_status, 200u) << answer.m_body;
        EXPECT_NE(answer.m_body.find("data: [DONE]"), std::string::npos);
        EXPECT_NE(answer.m_body.find(R"("completion_tokens":)"), std::string::npos);
    }
}

TEST_F(DaemonTest, RefusesWithoutAKeyOrModel)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    const HttpResponse noModel = call(daemon, "/v1/completions", R"({"model":"x","prompt":"y"})");
    EXPECT_EQ(noModel.m_status, 404u);
    EXPECT_EQ(findHeader(noModel.m_headers, "Stackquay-Outcome"), "not-run");
    const HttpResponse bad = call(daemon, "/v1/completions", "{");
    EXPECT_EQ(bad.m_status, 400u);
    EXPECT_EQ(m_engine->stats().m_started + m_otherEngine->stats().m_started, 0u);
}

TEST_F(DaemonTest, CutStreamIsResumedAndWhole)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    const std::string expected = complete(daemon, 40, false).m_body;
    for (auto *engine : { &m_engine, &m_otherEngine })
        (*engine)->setFault({ EngineFaultMode::CutAfter, 1, 5, "" });
    const std::string resumed = complete(daemon, 40, false).m_body;
    const auto text = [](const std::string &body) {
        return nlohmann::json::parse(body)["choices"][0]["text"].get<std::string>();
    };
    EXPECT_EQ(text(resumed), text(expected));
}

TEST_F(DaemonTest, CrossedFramesAreNeverPassedOn)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    const std::string expected = complete(daemon, 40, false).m_body;
    for (const EngineFaultMode mode : { EngineFaultMode::WrongAttempt, EngineFaultMode::SkipFrame,
                                        EngineFaultMode::DuplicateFrame }) {
        for (auto *engine : { &m_engine, &m_otherEngine })
            (*engine)->setFault({ mode, 1, 0, "" });
        const std::string answer = complete(daemon, 40, false).m_body;
        EXPECT_EQ(nlohmann::json::parse(answer)["choices"],
                  nlohmann::json::parse(expected)["choices"]);
    }
}

TEST_F(DaemonTest, RefusingEngineIsPassedOver)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    m_engine->setFault({ EngineFaultMode::Refuse, 1000, 0, "no_memory" });
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(complete(daemon, 5, false).m_status, 200u);
}

TEST_F(DaemonTest, AllEnginesRefusingSaysNotRun)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    for (auto *engine : { &m_engine, &m_otherEngine })
        (*engine)->setFault({ EngineFaultMode::Refuse, 1000, 0, "no_memory" });
    const std::string body = R"({"model":"hint-forge","prompt":"a clue","max_tokens":5})";
    const HttpResponse answer =
        call(daemon, "/v1/completions", body, { { "Stackquay-Deadline", "3000" } });
    EXPECT_GE(answer.m_status, 429u);
    EXPECT_EQ(findHeader(answer.m_headers, "Stackquay-Outcome"), "not-run");
    EXPECT_EQ(m_engine->stats().m_started + m_otherEngine->stats().m_started, 0u);
}

TEST_F(DaemonTest, KeyedSubmissionRunsOnceAndRepeatsGetItsOutcome)
{
    declare(intent());
    Daemon &first = startDaemon("vm-1");
    Daemon &second = startDaemon("vm-2");
    awaitView(first, 2);
    awaitView(second, 2);
    const HttpHeaders key{ { "Idempotency-Key", "k1" } };
    const HttpResponse one = call(first, "/service/entry-desk/submit", "grid", key);
    const HttpResponse two = call(second, "/service/entry-desk/submit", "grid", key);
    EXPECT_EQ(one.m_status, 200u) << one.m_body;
    EXPECT_EQ(two.m_body, one.m_body);
    EXPECT_EQ(m_service->stats().m_executions["k1"], 1u);
    const HttpResponse other = call(second, "/service/entry-desk/submit", "another grid", key);
    EXPECT_EQ(other.m_status, 400u);
    EXPECT_EQ(m_service->stats().m_total, 1u);
}

TEST_F(DaemonTest, LostAnswerOfASubmissionIsNotRepeated)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    m_service->setFault({ standin::ServiceFaultMode::LoseAnswer, 1 });
    const HttpHeaders key{ { "Idempotency-Key", "k2" } };
    const HttpResponse lost = call(daemon, "/service/entry-desk/submit", "grid", key);
    EXPECT_EQ(findHeader(lost.m_headers, "Stackquay-Outcome"), "may-have-run");
    const HttpResponse again = call(daemon, "/service/entry-desk/submit", "grid", key);
    EXPECT_EQ(findHeader(again.m_headers, "Stackquay-Outcome"), "may-have-run");
    EXPECT_EQ(m_service->stats().m_executions["k2"], 1u);
}

TEST_F(DaemonTest, StoreDownRefusesKeyedCallsAndServesTheRest)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    m_platform->setFault({ PlatformFaultMode::Down, Millis(0), 0 });
    const HttpResponse keyed =
        call(daemon, "/service/entry-desk/submit", "grid",
             { { "Idempotency-Key", "k3" }, { "Stackquay-Deadline", "2000" } });
    EXPECT_EQ(findHeader(keyed.m_headers, "Stackquay-Outcome"), "not-run") << keyed.m_body;
    EXPECT_EQ(m_service->stats().m_total, 0u);
    EXPECT_EQ(complete(daemon, 5, false).m_status, 200u);
}

TEST_F(DaemonTest, NewRevisionComesIntoForceEverywhere)
{
    declare(intent());
    Daemon &first = startDaemon("vm-1");
    Daemon &second = startDaemon("vm-2");
    awaitView(first, 2);
    awaitView(second, 2);
    Intent next = intent();
    next.m_revision = 2;
    next.m_endpoints[0].m_draining = true;
    declare(next);
    awaitView(first, 2, 2);
    awaitView(second, 2, 2);
    const uint64_t before = m_engine->stats().m_started;
    for (Daemon *daemon : { &first, &second })
        EXPECT_EQ(complete(*daemon, 5, false).m_status, 200u);
    EXPECT_EQ(m_engine->stats().m_started, before);
}

TEST_F(DaemonTest, HangupCancelsAtTheEngine)
{
    // An answer of minutes: only a cancel can end it within the test's time.
    EngineSettings slow;
    Hosted<EngineStandin> engine(slow);
    Intent only = intent();
    only.m_endpoints = { endpoint("slow", engine.address()) };
    only.m_endpoints[0].m_models = { ModelId("hint-forge") };
    declare(only);
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    auto connection = std::make_shared<HttpConnection>(m_client.context());
    std::promise<void> sent;
    m_client.post([&] {
        EXPECT_TRUE(connection->connect(daemon.httpAddress(), Seconds(5)));
        const HttpHeaders headers{ { "Authorization", "Bearer key" },
                                   { "Stackquay-Deadline", "800000" } };
        const std::string body =
            R"({"model":"hint-forge","prompt":"a clue","max_tokens":20000,"stream":true})";
        EXPECT_TRUE(connection->send({ "POST", "/v1/completions", headers, body }, Seconds(5)));
        sent.set_value();
    });
    sent.get_future().wait();
    awaitEvent([&] { return daemon.node().m_entryMetrics.tokens() > 0; });
    m_client.post([connection] { connection->cancel(); });
    awaitEvent([&] { return engine->stats().m_cancelled == 1; });
    EXPECT_EQ(engine->stats().m_memoryUsed, 0u);
    EXPECT_EQ(engine->stats().m_completed, 0u);
}

TEST_F(DaemonTest, DrainFinishesWhatIsInProgress)
{
    declare(intent());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    for (auto *engine : { &m_engine, &m_otherEngine })
        (*engine)->setFault({ EngineFaultMode::Hang, 1, 0, "" });
    std::promise<HttpResponse> answer;
    std::thread caller([&] { answer.set_value(complete(daemon, 30, true)); });
    awaitEvent([&] { return daemon.requestsInProgress(); });
    daemon.drain();
    awaitEvent([&] { return isDraining(daemon.node().drainPlan()); });
    for (auto *engine : { &m_engine, &m_otherEngine })
        (*engine)->setFault({});
    daemon.wait();
    caller.join();
    const HttpResponse response = answer.get_future().get();
    EXPECT_EQ(response.m_status, 200u);
    EXPECT_NE(response.m_body.find("[DONE]"), std::string::npos);
}

TEST_F(DaemonTest, SecondDrainFailsTruthfullyAtOnce)
{
    // An answer of minutes, so that it is in progress whenever the drain comes.
    constexpr uint64_t EndlessTokens = 20'000;
    EngineSettings slow;
    slow.m_limits.m_memoryTokens = 2 * EndlessTokens;
    const Hosted<EngineStandin> engine(slow);
    Intent only = intent();
    only.m_endpoints = { endpoint("slow", engine.address()) };
    only.m_endpoints[0].m_models = { ModelId("hint-forge") };
    declare(only);
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    const HttpHeaders patient{ { "Stackquay-Deadline", "800000" } };
    std::promise<HttpResponse> answer;
    std::thread caller([&] { answer.set_value(complete(daemon, EndlessTokens, false, patient)); });
    awaitEvent([&] { return daemon.node().m_entryMetrics.tokens() > 0; });
    daemon.drain();
    daemon.drain();
    daemon.wait();
    caller.join();
    const HttpResponse response = answer.get_future().get();
    EXPECT_EQ(response.m_status, 502u) << response.m_body;
    EXPECT_EQ(findHeader(response.m_headers, "Stackquay-Outcome"), "may-have-run");
}

} // namespace
} // namespace stackquay
