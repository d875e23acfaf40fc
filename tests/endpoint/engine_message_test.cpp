// Engines whose short messages have no end, or fields of another type.

#include <future>

#include <gtest/gtest.h>

#include "endpoint/endpoint.h"
#include "tests/support/raw_endpoint.h"

namespace stackquay {
namespace {

constexpr size_t OfferedBytes = size_t(300) << 20;

class EngineMessageTest : public testing::Test
{
protected:
    EngineMessageTest() { m_thread.start(); }

    ~EngineMessageTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    void sendEndless(const std::string &status)
    {
        m_engine.setEndlessAnswer("HTTP/1.1 " + status + "\r\nConnection: close\r\n\r\n", "a",
                                  OfferedBytes);
    }

    StartFailure refusal()
    {
        std::promise<StartFailure> failure;
        m_thread.post([&] {
            HttpPool pool(m_thread.context());
            EngineStream stream(pool, m_engine.address());
            const auto started = stream.start({}, Seconds(5));
            failure.set_value(started ? StartFailure{} : started.error());
        });
        return failure.get_future().get();
    }

    RawEndpoint m_engine;
    FiberThread m_thread{ "engine" };
};

TEST_F(EngineMessageTest, RefusalWithoutEndIsNotKept)
{
    sendEndless("503 Service Unavailable");
    const StartFailure failure = refusal();
    EXPECT_FALSE(failure.m_notRun);
    EXPECT_EQ(failure.m_error.m_code, ErrorCode::ProtocolError);
    EXPECT_LT(m_engine.longestSent(), BufferedBytes);
}

TEST_F(EngineMessageTest, AnswerWithoutEndToACancellationIsNotKept)
{
    sendEndless("200 OK");
    std::promise<Result<bool>> cancelled;
    m_thread.post([&] {
        HttpPool pool(m_thread.context());
        cancelled.set_value(
            cancelAttempt(pool, m_engine.address(), AttemptId("attempt"), Seconds(5)));
    });
    const auto result = cancelled.get_future().get();
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().m_code, ErrorCode::ProtocolError);
    EXPECT_LT(m_engine.longestSent(), BufferedBytes);
}

TEST_F(EngineMessageTest, ReasonOfAnotherTypeIsNone)
{
    for (const std::string body : { R"({"error":{"reason":7}})", R"({"error":{"reason":null}})",
                                    R"({"error":7})", R"([])" }) {
        m_engine.setAnswer(fmt::format("HTTP/1.1 503 Service Unavailable\r\nContent-Length: {}\r\n"
                                       "Connection: close\r\n\r\n{}",
                                       body.size(), body),
                           RawEnd::Close);
        const StartFailure failure = refusal();
        EXPECT_EQ(failure.m_reason, "") << body;
        EXPECT_FALSE(failure.m_notRun) << body;
    }
}

} // namespace
} // namespace stackquay
