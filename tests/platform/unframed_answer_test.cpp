// Answers with neither a length nor chunks: their end is the end of their connection.

#include "raw_endpoint_test.h"

namespace stackquay::platform {
namespace {

class UnframedAnswerTest : public RawEndpointTest
{
protected:
    /// An endpoint of @p service that answers with @p body and ends the connection.
    void start(const std::string &service, const std::string &body, RawEnd end)
    {
        m_endpoint.setAnswer(headWith("Connection: close\r\n\r\n") + body, end);
        RawEndpointTest::start(service);
    }
};

TEST_F(UnframedAnswerTest, AnswerThatEndsInOrderIsWhole)
{
    start("plain", "an answer", RawEnd::Close);
    const ClientAnswer answer = m_deployment.call(unsafeRequest());
    EXPECT_EQ(answer.m_status, 200u);
    EXPECT_EQ(answer.m_body, "an answer");
    EXPECT_TRUE(answer.m_whole);
}

TEST_F(UnframedAnswerTest, AnswerThatIsResetIsNotPassedOn)
{
    start("plain", "an answer", RawEnd::Reset);
    const ClientAnswer answer = m_deployment.call(unsafeRequest());
    EXPECT_EQ(answer.m_status, 502u);
    EXPECT_EQ(m_endpoint.requests(), 1u);
}

TEST_F(UnframedAnswerTest, StreamThatEndsInOrderIsWhole)
{
    start("model", eventsText(1, 3), RawEnd::Close);
    const ClientAnswer answer = m_deployment.call(streamRequest("/once/x"));
    EXPECT_EQ(answer.m_status, 200u);
    EXPECT_EQ(answer.m_body, eventsText(1, 3));
    EXPECT_TRUE(answer.m_whole);
}

TEST_F(UnframedAnswerTest, StreamThatIsResetIsCut)
{
    start("model", eventsText(1, 3), RawEnd::Reset);
    const ClientAnswer answer = m_deployment.call(streamRequest("/once/x"));
    EXPECT_EQ(answer.m_body, eventsText(1, 3));
    EXPECT_FALSE(answer.m_whole);
}

TEST_F(UnframedAnswerTest, StreamThatEndsInsideAnEventIsCut)
{
    start("model", eventsText(1, 3) + "id: 4\ndata: half", RawEnd::Close);
    const ClientAnswer answer = m_deployment.call(streamRequest("/once/x"));
    EXPECT_EQ(answer.m_body, eventsText(1, 3));
    EXPECT_FALSE(answer.m_whole);
}

TEST_F(UnframedAnswerTest, StreamThatEndsBeforeItsFirstEventFails)
{
    start("model", "", RawEnd::Close);
    const ClientAnswer answer = m_deployment.call(streamRequest("/once/x"));
    EXPECT_EQ(answer.m_status, 502u);
}

TEST_F(UnframedAnswerTest, StreamThatEndsInsideAnEventIsResumed)
{
    start("model", eventsText(1, 3) + "id: 4\ndata: half", RawEnd::Close);
    addSoundEndpoint("model");
    for (int i = 0; i < 4; ++i) {
        const ClientAnswer answer = m_deployment.call(streamRequest());
        EXPECT_EQ(answer.m_body, eventsText(1, 6));
        EXPECT_TRUE(answer.m_whole);
    }
}

} // namespace
} // namespace stackquay::platform
