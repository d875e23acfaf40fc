/// Streams in progress while all engines stand still, as when their machines are paused, and go on.
#include <future>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "daemon_pair.h"

namespace stackquay {
namespace {

using standin::EngineFaultMode;
using standin::EngineSettings;
using standin::EngineStandin;
using standin::expectedAnswer;
using standin::Hosted;

constexpr uint64_t AnswerTokens = 150;
constexpr Millis StreamIdleTimeout{ 500 };
/// Longer than the idle timeout and two attempts to resume, of two seconds each.
constexpr Millis Pause{ 5'500 };

/// Streams that were cut can be resumed for longer than the tests take.
EngineSettings engineSettings()
{
    EngineSettings settings;
    settings.m_resume = Seconds(60);
    return settings;
}

class PausedEnginesTest : public testing::Test
{
protected:
    PausedEnginesTest()
    {
        m_client.start();
        Intent intent = oneModelIntent();
        for (size_t i = 0; i < std::size(m_engines); ++i)
            intent.m_endpoints.push_back(engineAt(fmt::format("e{}", i), m_engines[i].address()));
        publish(m_platform, intent);
        m_daemon =
            startDaemon(m_platform, "vm-1", {},
                        { "--stream-idle-timeout", fmt::format("{}ms", StreamIdleTimeout.count()),
                          "--drain-lag", "0ms" });
        m_address = *parseAddress(*m_daemon->awaitReady("address"));
        awaitEvent([this] {
            const auto ready = call({ "GET", "/readyz", {}, "" }).get();
            return ready && ready->m_status == 200;
        });
    }

    ~PausedEnginesTest() override
    {
        m_client.stop();
        m_client.join();
    }

    std::future<Result<HttpResponse>> call(HttpRequest request)
    {
        auto answer = std::make_shared<std::promise<Result<HttpResponse>>>();
        m_client.post([this, answer, request = std::move(request)] {
            answer->set_value(m_pool.call(m_address, request, { Seconds(60) }, false));
        });
        return answer->get_future();
    }

    std::future<Result<HttpResponse>> complete(const std::string &prompt, HttpHeaders headers = {})
    {
        const nlohmann::json body{ { "model", ModelName },
                                   { "prompt", prompt },
                                   { "max_tokens", AnswerTokens } };
        headers.push_back({ "Authorization", "Bearer key" });
        headers.push_back({ "Stackquay-Deadline", "30000" });
        return call({ "POST", "/v1/completions", std::move(headers), body.dump() });
    }

    /// Makes all engines stand still once they have begun @p answers answers.
    void pauseDuring(uint64_t answers)
    {
        awaitEvent([&] {
            uint64_t tokens = 0;
            uint64_t started = 0;
            for (auto &engine : m_engines) {
                started += engine->stats().m_started;
                tokens += engine->stats().m_tokens;
            }
            return started == answers && tokens > answers;
        });
        for (auto &engine : m_engines)
            engine->setFault({ EngineFaultMode::Hang, 1, 0, "" });
        std::this_thread::sleep_for(Pause);
        for (auto &engine : m_engines)
            engine->setFault({});
    }

    static bool isWhole(const Result<HttpResponse> &answer, const std::string &prompt)
    {
        if (!answer || answer->m_status != 200)
            return false;
        const auto json = nlohmann::json::parse(answer->m_body, nullptr, false);
        return json.is_object()
               && json["choices"][0]["text"] == expectedAnswer(prompt, 0, AnswerTokens);
    }

    HostedPlatform m_platform;
    Hosted<EngineStandin> m_engines[2]{ Hosted<EngineStandin>(engineSettings()),
                                        Hosted<EngineStandin>(engineSettings()) };
    FiberThread m_client{ "client" };
    HttpPool m_pool{ m_client.context() };
    std::unique_ptr<Process> m_daemon;
    Address m_address;
};

// A stream that could not be repeated was cancelled at its engine, and its client got an error.
TEST_F(PausedEnginesTest, StreamThatMayNotBeRepeatedIsNotGivenUp)
{
    auto answer = complete("a clue", { { "Stackquay-Repeatable", "no" } });
    pauseDuring(1);
    const auto whole = answer.get();
    ASSERT_TRUE(whole) << toString(whole.error());
    EXPECT_TRUE(isWhole(whole, "a clue")) << whole->m_body;
}

// All streams were cancelled, and the retry budget then allowed only few of them another attempt.
TEST_F(PausedEnginesTest, StreamsAreNotGivenUpForRetriesBeyondTheBudget)
{
    constexpr uint64_t Streams = 20;
    std::vector<std::future<Result<HttpResponse>>> answers;
    for (uint64_t i = 0; i < Streams; ++i)
        answers.push_back(complete(fmt::format("clue {}", i)));
    pauseDuring(Streams);
    uint64_t whole = 0;
    for (uint64_t i = 0; i < Streams; ++i)
        whole += isWhole(answers[i].get(), fmt::format("clue {}", i)) ? 1 : 0;
    EXPECT_EQ(whole, Streams);
}

} // namespace
} // namespace stackquay
