#include <boost/fiber/future.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "load/load.h"

namespace stackquay {
namespace {

std::string callerFrame(int index, std::string_view text)
{
    return fmt::format(
        R"(data: {{"choices":[{{"text":"{}","finish_reason":null}}],"stackquay":{{"index":{},"n":1}}}})"
        "\n\n",
        text, index);
}

std::string callerEnd(const nlohmann::json &request, int tokens)
{
    const size_t promptTokens = request["prompt"].get<std::string>().size() / BytesPerToken;
    return fmt::format(
        R"(data: {{"choices":[{{"text":"","finish_reason":"length"}}],"usage":{{"prompt_tokens":{},"completion_tokens":{},"cached_tokens":0}}}})"
        "\n\ndata: [DONE]\n\n",
        promptTokens, tokens);
}

/// A daemon whose answers are made by the test.
class RunnerTest : public testing::Test
{
protected:
    LoadRun run(HttpHandler handler, LoadOptions options = {})
    {
        m_server = std::make_unique<HttpServer>(m_thread, std::move(handler));
        const auto bound = m_server->listen(Address{});
        EXPECT_TRUE(bound);
        m_thread.start();
        options.m_targets = { *bound };
        options.m_lengths = { { 10, 5'000, 1 } };
        options.m_outputs = { { 3, 3, 1 } };
        options.m_phases = { { Millis(200), 200 } };
        auto result = runLoad(options);
        EXPECT_TRUE(result) << toString(result.error());
        return std::move(*result);
    }

    void TearDown() override
    {
        m_ended.set_value();
        m_thread.stop();
        m_thread.join();
    }

    static void answerWhole(HttpExchange &exchange, std::string_view text)
    {
        const auto request = nlohmann::json::parse(exchange.request().m_body);
        exchange.startStream(200, {});
        for (int i = 0; i < 3; ++i)
            exchange.write(callerFrame(i, text));
        exchange.write(callerEnd(request, 3));
        exchange.finish();
    }

    static size_t count(const LoadRun &run, LoadOutcome outcome)
    {
        return summarize(run.m_records, [](const LoadRecord &) { return true; }).outcome(outcome);
    }

    boost::fibers::promise<void> m_ended;
    boost::fibers::shared_future<void> m_end = m_ended.get_future().share();
    FiberThread m_thread{ "server" };
    std::unique_ptr<HttpServer> m_server;
};

TEST_F(RunnerTest, WholeAnswersAreComplete)
{
    const LoadRun done = run([](HttpExchange &exchange) { answerWhole(exchange, "t"); });
    ASSERT_GT(done.m_records.size(), 5u);
    EXPECT_EQ(count(done, LoadOutcome::Complete), done.m_records.size()) << formatTable(done);
    for (const LoadRecord &record : done.m_records) {
        EXPECT_EQ(record.m_outputTokens, 3u);
        EXPECT_GT(record.m_firstToken, Micros(0));
        EXPECT_GE(record.m_total, record.m_firstToken);
    }
}

TEST_F(RunnerTest, TellsTheOutcomesApart)
{
    int calls = 0;
    const LoadRun done = run([&](HttpExchange &exchange) {
        switch (++calls % 5) {
        case 0:
            return answerWhole(exchange, "t");
        case 1:
            exchange.respond({ 503, { { "Stackquay-Outcome", "not-run" } }, "{}" });
            return;
        case 2:
            exchange.respond({ 502, { { "Stackquay-Outcome", "may-have-run" } }, "{}" });
            return;
        case 3:
            exchange.startStream(200, {});
            exchange.write(callerFrame(0, "t"));
            exchange.finish();
            return;
        default:
            exchange.startStream(200, {});
            exchange.write(callerFrame(1, "t"));
            exchange.finish();
        }
    });
    ASSERT_GT(calls, 10);
    const size_t each = static_cast<size_t>(calls) / 5;
    EXPECT_EQ(count(done, LoadOutcome::Complete), each);
    EXPECT_NEAR(count(done, LoadOutcome::Refused), each, 1);
    EXPECT_NEAR(count(done, LoadOutcome::Failed), each, 1);
    EXPECT_NEAR(count(done, LoadOutcome::Truncated), each, 1);
    EXPECT_NEAR(count(done, LoadOutcome::Wrong), each, 1);
}

TEST_F(RunnerTest, OtherAnswerToTheSamePromptIsWrong)
{
    LoadOptions options;
    options.m_repeatShare = 0.9;
    options.m_threads = 1;
    int calls = 0;
    const auto other = [&](HttpExchange &exchange) {
        answerWhole(exchange, ++calls % 2 == 0 ? "t" : "u");
    };
    EXPECT_GT(count(run(other, options), LoadOutcome::Wrong), 0u);
}

TEST_F(RunnerTest, EndsThoughTheServerNeverAnswers)
{
    LoadOptions options;
    options.m_drainTimeout = Millis(50);
    const LoadRun done = run([&](HttpExchange &) { m_end.wait(); }, options);
    EXPECT_EQ(count(done, LoadOutcome::Unfinished), done.m_records.size());
}

TEST_F(RunnerTest, LimitOfOpenRequestsHoldsBack)
{
    LoadOptions options;
    options.m_threads = 1;
    options.m_openLimit = 2;
    options.m_drainTimeout = Millis(50);
    const LoadRun done = run([&](HttpExchange &) { m_end.wait(); }, options);
    EXPECT_EQ(count(done, LoadOutcome::Unfinished), 2u);
    EXPECT_EQ(count(done, LoadOutcome::NotSent), done.m_records.size() - 2);
}

TEST_F(RunnerTest, ClosedLoopsAndSkippedPrompts)
{
    LoadOptions options;
    options.m_closedLoops = 4;
    const LoadRun done = run([](HttpExchange &exchange) { answerWhole(exchange, "t"); }, options);
    EXPECT_GE(count(done, LoadOutcome::Complete), 4u);
    EXPECT_GT(completedPerSecond(done), 0);
    EXPECT_GT(tokensPerSecond(done), 0);
}

TEST_F(RunnerTest, SkippedPromptsLeaveTheOthersInPlace)
{
    LoadOptions options;
    options.m_skipAbove = 500;
    const LoadRun done = run([](HttpExchange &exchange) { answerWhole(exchange, "t"); }, options);
    ASSERT_FALSE(done.m_records.empty());
    for (const LoadRecord &record : done.m_records)
        EXPECT_LE(record.m_promptTokens, 500u);
}

TEST(LoadRunTest, UnreachableTargetIsNotAFailureThatRan)
{
    LoadOptions options;
    options.m_phases = { { Millis(100), 50 } };
    options.m_lengths = { { 10, 10, 1 } };
    {
        boost::asio::io_context context;
        const boost::asio::ip::tcp::acceptor closed(
            context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        options.m_targets = { { "127.0.0.1", closed.local_endpoint().port() } };
    }
    const auto done = runLoad(options);
    ASSERT_TRUE(done);
    for (const LoadRecord &record : done->m_records)
        EXPECT_EQ(record.m_outcome, LoadOutcome::Unreachable);
}

TEST(SummaryTest, PercentilesAreExact)
{
    std::vector<Micros> samples;
    for (int i = 100; i >= 1; --i)
        samples.emplace_back(i);
    const Percentiles percentiles = percentilesOf(samples);
    EXPECT_EQ(percentiles.m_p50, Micros(50));
    EXPECT_EQ(percentiles.m_p95, Micros(95));
    EXPECT_EQ(percentiles.m_p99, Micros(99));
    EXPECT_EQ(percentiles.m_max, Micros(100));
    EXPECT_EQ(percentilesOf({}).m_p99, Micros(0));
}

TEST(ReportTest, FlatJsonAndCsvCarryTheRecords)
{
    LoadRun done;
    done.m_sending = Seconds(1);
    LoadRecord record;
    record.m_outcome = LoadOutcome::Complete;
    record.m_outputTokens = 2;
    record.m_firstToken = Micros(1'500);
    done.m_records = { record };
    const auto json = nlohmann::json::parse(formatJson(done, {}, true));
    EXPECT_DOUBLE_EQ(json["/classes/<=4k/ttft_ms/p95"], 1.5);
    EXPECT_EQ(json["/all/complete"], 1);
    const std::string csv = formatCsv(done);
    EXPECT_EQ(std::count(csv.begin(), csv.end(), '\n'), 2);
}

} // namespace
} // namespace stackquay
