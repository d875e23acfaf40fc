// Endpoints that send bytes without end: in a head, a body, an event, or before an answer.

#include <iostream>
#include <thread>

#include "net/process_stats.h"
#include "raw_endpoint_test.h"

namespace stackquay::platform {
namespace {

constexpr size_t Mebibyte = size_t(1) << 20;
constexpr size_t OfferedBytes = 300 * Mebibyte;
/// More than passes before any deadline.
constexpr size_t UnlimitedBytes = size_t(1) << 40;
constexpr size_t MaxGrowth = 32 * Mebibyte;
/// From the head on, without reading to the end of a time-out.
constexpr Millis Promptly{ 1'000 };

/// Samples how far the resident memory of the process rises above that at its start.
class MemoryWatch
{
public:
    MemoryWatch()
        : m_atStart(readProcessStats()->m_residentBytes)
        , m_thread([this] { sample(); })
    { }

    ~MemoryWatch()
    {
        m_over = true;
        m_thread.join();
    }
    MemoryWatch(const MemoryWatch &) = delete;
    MemoryWatch &operator=(const MemoryWatch &) = delete;

    size_t growth() const { return m_most > m_atStart ? m_most - m_atStart : 0; }

private:
    void sample()
    {
        while (!m_over) {
            m_most = std::max<size_t>(m_most, readProcessStats()->m_residentBytes);
            std::this_thread::sleep_for(Millis(2));
        }
    }

    size_t m_atStart;
    std::atomic<size_t> m_most{ 0 };
    std::atomic<bool> m_over{ false };
    std::thread m_thread;
};

class EndlessAnswerTest : public RawEndpointTest
{
protected:
    /// The endpoint of @p service, and a sound one if @p another.
    void start(const std::string &service, bool another = false)
    {
        RawEndpointTest::start(service);
        if (another)
            addSoundEndpoint(service);
    }

    void sendEndless(const std::string &start, const std::string &repeated,
                     size_t mostBytes = OfferedBytes)
    {
        m_endpoint.setEndlessAnswer(start, repeated, mostBytes);
    }

    void sendEndlessRefusal()
    {
        sendEndless("HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: request-1\r\n"
                    "X-Not-Executed: 1\r\nConnection: close\r\n\r\n",
                    "a");
    }

    /// Calls, checks the memory and that the endpoint's connection was closed, and prints figures.
    ClientAnswer callMeasured(const ClientRequest &request)
    {
        const MemoryWatch memory;
        ClientAnswer answer = m_deployment.call(request);
        EXPECT_TRUE(eventually([this] { return m_endpoint.cutAnswers() > 0; }));
        EXPECT_LT(memory.growth(), MaxGrowth);
        std::cout << "[ MEASURED ] status " << answer.m_status << ", "
                  << std::chrono::duration_cast<Millis>(answer.m_took).count()
                  << " ms, endpoint sent " << m_endpoint.longestSent() / Mebibyte
                  << " MiB, client got " << answer.m_bodyBytes << " bytes, memory grew by "
                  << memory.growth() / Mebibyte << " MiB\n";
        return answer;
    }

    /// A request that may run once gets 502 in time, and its endpoint is not read on.
    void expectFailed(const ClientRequest &request, size_t mostSent)
    {
        RawEndpointTest::expectFailed(callMeasured(request));
        EXPECT_LT(m_endpoint.longestSent(), mostSent);
    }

    /// A stream of complete events without end is passed on until its deadline, to a client that
    /// waits for @p readPause before each piece.
    void expectEventsEndAtTheDeadline(Millis readPause)
    {
        start("model");
        sendEndless(headWith("Connection: close\r\n\r\n"),
                    "data: " + std::string(100, 'a') + "\n\n", UnlimitedBytes);
        ClientRequest request = streamRequest("/once/x");
        request.m_keepBody = false;
        request.m_readPause = readPause;
        const ClientAnswer answer = callMeasured(request);
        EXPECT_EQ(answer.m_status, 200u);
        EXPECT_FALSE(answer.m_whole);
        EXPECT_LT(answer.m_took, request.m_deadline + Promptly);
    }
};

TEST_F(EndlessAnswerTest, EndlessHeadEndsTheAttempt)
{
    start("plain");
    sendEndless(headWith(""), "X-Filler: " + std::string(80, 'a') + "\r\n");
    expectFailed(unsafeRequest(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessHeadLineEndsTheAttempt)
{
    start("plain");
    sendEndless("HTTP/1.1 200 ", "a");
    expectFailed(unsafeRequest(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessHeadsEjectTheirEndpoint)
{
    constexpr size_t Requests = 20;
    start("plain", true);
    sendEndless(headWith(""), "X-Filler: a\r\n");
    for (size_t i = 0; i < Requests; ++i)
        EXPECT_EQ(m_deployment.call({}).m_status, 200u) << i;
    std::cout << "[ MEASURED ] requests at the endpoint: " << m_endpoint.requests() << "\n";
    EXPECT_GT(m_endpoint.requests(), 0u);
    EXPECT_LT(m_endpoint.requests(), Requests / 2);
}

TEST_F(EndlessAnswerTest, EndlessBodyOfAGivenLengthIsRefusedAtOnce)
{
    start("plain");
    sendEndless(headWith("Content-Length: " + std::to_string(OfferedBytes) + "\r\n\r\n"), "a");
    expectFailed(unsafeRequest(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessBodyInChunksIsCutAtTheBound)
{
    start("plain");
    sendEndless(headWith("Transfer-Encoding: chunked\r\n\r\n"),
                "400\r\n" + std::string(1'024, 'a') + "\r\n");
    expectFailed(unsafeRequest(), BufferedBytes + MaxResponseBytes);
}

TEST_F(EndlessAnswerTest, EndlessBodyWithoutLengthIsCutAtTheBound)
{
    start("plain");
    sendEndless(headWith("Connection: close\r\n\r\n"), "a");
    expectFailed(unsafeRequest(), BufferedBytes + MaxResponseBytes);
}

TEST_F(EndlessAnswerTest, EndlessChunkHeaderIsCutAtTheBound)
{
    start("plain");
    sendEndless(headWith("Transfer-Encoding: chunked\r\n\r\n2;name="), "a");
    expectFailed(unsafeRequest(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessTrailerIsCutAtTheBound)
{
    start("plain");
    sendEndless(headWith("Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-Filler: a\r\n");
    expectFailed(unsafeRequest(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessBodiesAreReplacedByAnotherEndpoint)
{
    start("plain", true);
    sendEndless(headWith("Connection: close\r\n\r\n"), "a");
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(m_deployment.call({}).m_status, 200u) << i;
}

TEST_F(EndlessAnswerTest, EndlessFirstEventEndsTheAttempt)
{
    start("model");
    sendEndless(headWith("Connection: close\r\n\r\nid: 1\ndata: "), "a");
    expectFailed(streamRequest("/once/x"), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessEventIsCutAtTheBound)
{
    start("model");
    sendEndless(headWith("Connection: close\r\n\r\n") + eventsText(1, 3) + "id: 4\n",
                "data: " + std::string(40, 'a') + "\n");
    const ClientAnswer answer = callMeasured(streamRequest("/once/x"));
    EXPECT_EQ(answer.m_body, eventsText(1, 3));
    EXPECT_FALSE(answer.m_whole);
    EXPECT_LT(answer.m_took, Promptly);
    EXPECT_LT(m_endpoint.longestSent(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessChunkHeaderInAStreamIsCutAtTheBound)
{
    start("model");
    sendEndless(headWith("Transfer-Encoding: chunked\r\n\r\n2;name="), "a");
    expectFailed(streamRequest("/once/x"), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessEventIsResumedElsewhere)
{
    start("model", true);
    sendEndless(headWith("Connection: close\r\n\r\n") + eventsText(1, 3) + "id: 4\ndata: ", "a");
    for (int i = 0; i < 4; ++i) {
        const ClientAnswer answer = m_deployment.call(streamRequest());
        EXPECT_EQ(answer.m_body, eventsText(1, 6));
        EXPECT_TRUE(answer.m_whole);
    }
}

TEST_F(EndlessAnswerTest, EndlessRefusalBodyClosesTheConnection)
{
    start("plain");
    sendEndlessRefusal();
    const ClientAnswer answer = callMeasured(unsafeRequest());
    EXPECT_EQ(answer.m_status, 503u);
    EXPECT_LT(answer.m_took, Promptly);
    EXPECT_LT(m_endpoint.longestSent(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, EndlessRefusalBodyIsAnsweredByAnotherEndpoint)
{
    start("plain", true);
    sendEndlessRefusal();
    for (int i = 0; i < 4; ++i) {
        const ClientAnswer answer = m_deployment.call(unsafeRequest());
        EXPECT_EQ(answer.m_status, 200u);
        EXPECT_LT(answer.m_took, Promptly);
    }
}

TEST_F(EndlessAnswerTest, EndlessInterimResponsesEndTheAttempt)
{
    start("plain");
    sendEndless("", "HTTP/1.1 103 Early Hints\r\nX-Request-Id: request-1\r\n\r\n");
    expectFailed(unsafeRequest(), BufferedBytes);
}

TEST_F(EndlessAnswerTest, InterimResponsesBeforeAnAnswerAreSkipped)
{
    start("plain");
    m_endpoint.setAnswer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                             + headWith("Content-Length: 9\r\n\r\nan answer"),
                         RawEnd::Close);
    const ClientAnswer answer = m_deployment.call(unsafeRequest());
    EXPECT_EQ(answer.m_status, 200u);
    EXPECT_EQ(answer.m_body, "an answer");
}

TEST_F(EndlessAnswerTest, EndlessEventsKeepMemoryFlat)
{
    expectEventsEndAtTheDeadline(Millis(0));
}

TEST_F(EndlessAnswerTest, EndlessEventsToASlowReaderKeepMemoryFlat)
{
    expectEventsEndAtTheDeadline(Millis(5));
}

TEST_F(EndlessAnswerTest, EndlessAnswersOfTheStoreKeepMemoryFlat)
{
    sendEndless("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "a");
    const MemoryWatch memory;
    m_deployment.addDaemon(m_endpoint.address());
    EXPECT_TRUE(eventually([this] { return m_endpoint.cutAnswers() >= 3; }, Seconds(10)));
    EXPECT_LT(memory.growth(), MaxGrowth);
    std::cout << "[ MEASURED ] answers cut " << m_endpoint.cutAnswers() << ", store sent "
              << m_endpoint.longestSent() / Mebibyte << " MiB, memory grew by "
              << memory.growth() / Mebibyte << " MiB\n";
    EXPECT_NE(m_deployment.readyStatus(), 200u);
}

} // namespace
} // namespace stackquay::platform
