// Clients that keep to no limit, before a daemon on the platform: it lives, stays within the memory
// and the descriptors of its machine, and answers ordinary requests.

#include <csignal>
#include <iostream>

#include <gtest/gtest.h>

#include "tests/platform/misuse/relay_process.h"

namespace stackquay::misuse {
namespace {

constexpr const char *Key = "Api-Key: key-of-one\r\n";
constexpr Duration Quiet = Millis(700);
constexpr Duration MostTime = Seconds(20);

std::string post(const std::string &framing, const std::string &path = "/safe/x")
{
    return requestHead("POST", path, Key + framing + "\r\n");
}

std::string get(const std::string &path, const std::string &more = "")
{
    return requestHead("GET", path, Key + more + "\r\n");
}

class RelayMisuseTest : public testing::Test
{
protected:
    explicit RelayMisuseTest(const MachineLimits &limits = {})
        : m_relay(limits)
    { }

    void SetUp() override { ASSERT_TRUE(m_relay.start()); }

    /// Lets @p crowd do its work, and checks the daemon before and after its connections close.
    void expectBorne(Crowd &crowd)
    {
        crowd.awaitQuiet(Quiet, MostTime);
        expectSound("beside the crowd");
    }

    void expectSound(const char *when)
    {
        ASSERT_TRUE(m_relay.daemon().isAlive())
            << when << ", peak " << m_relay.daemon().peakBytes() / Mebibyte;
        // Bytes that wait to be read count as memory of the process.
        const size_t unread = WatchedProcess::unreadBytes(m_relay.clients().m_port);
        const std::string response = m_relay.ordinaryResponse(m_relay.clients());
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << when << ": '" << response << "'";
        EXPECT_LT(m_relay.daemon().peakBytes() + unread,
                  m_relay.limits().m_memoryMebibytes * Mebibyte)
            << "unread " << unread;
        EXPECT_LT(m_relay.daemon().mostDescriptors(), m_relay.limits().m_descriptors);
    }

    void expectBorne(const Address &address, size_t clients, const ClientScript &script)
    {
        {
            Crowd crowd(address, clients, script);
            expectBorne(crowd);
            std::cout << "[ MEASURED ] " << clients << " clients sent "
                      << crowd.sentBytes() / Mebibyte << " MiB, open " << crowd.openConnections()
                      << ", peak " << m_relay.daemon().peakBytes() / Mebibyte << " MiB, unread "
                      << WatchedProcess::unreadBytes(address.m_port) / Mebibyte
                      << " MiB, descriptors " << m_relay.daemon().mostDescriptors();
            for (const auto &[status, count] : crowd.statuses())
                std::cout << ", " << status << ": " << count;
            std::cout << "\n";
        }
        if (!HasFatalFailure())
            expectSound("after the crowd");
    }

    RelayProcess m_relay;
};

// The parser keeps what it cannot parse yet: all trailers, or a chunk's header, to their end.

TEST_F(RelayMisuseTest, TrailersWithoutEnd)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n";
    script.m_repeated = "Trailer-Field: " + std::string(100, 'a') + "\r\n";
    script.m_mostRepeated = 16 * Mebibyte;
    expectBorne(m_relay.clients(), 20, script);
}

TEST_F(RelayMisuseTest, TrailerLineWithoutEnd)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\nTrailer-Field: ";
    script.m_repeated = "a";
    script.m_mostRepeated = 16 * Mebibyte;
    expectBorne(m_relay.clients(), 20, script);
}

TEST_F(RelayMisuseTest, ChunkExtensionWithoutEnd)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n") + "1;extension=";
    script.m_repeated = "a";
    script.m_mostRepeated = 16 * Mebibyte;
    expectBorne(m_relay.clients(), 20, script);
}

TEST_F(RelayMisuseTest, TrailersWithoutEndAtTheForwardAddress)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n") + "1\r\na\r\n0\r\n";
    script.m_repeated = "Trailer-Field: " + std::string(100, 'a') + "\r\n";
    script.m_mostRepeated = 16 * Mebibyte;
    expectBorne(m_relay.forward(), 20, script);
}

TEST_F(RelayMisuseTest, TrailerFieldsAreNoHeaderFields)
{
    const std::string chunked = "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    const std::string denied =
        m_relay.exchange(m_relay.clients(), requestHead("POST", "/safe/x", chunked)
                                                + "1\r\na\r\n0\r\n" + Key + "\r\n");
    EXPECT_TRUE(denied.starts_with("HTTP/1.1 401")) << denied;
    const std::string served =
        m_relay.exchange(m_relay.clients(), requestHead("POST", "/safe/x", Key + chunked)
                                                + "1\r\na\r\n0\r\nSent-In-Trailer: 1\r\n\r\n");
    EXPECT_TRUE(served.starts_with("HTTP/1.1 200")) << served;
    for (const platform::WorkerRun &run : m_relay.workerRuns())
        EXPECT_TRUE(findHeader(run.m_request.m_headers, "Sent-In-Trailer").empty());
}

// A field of four bytes takes some hundred in memory, for as long as its request is in progress.
TEST_F(RelayMisuseTest, HeadsOfThousandsOfFields)
{
    std::string fields;
    for (int i = 0; i < 3'900; ++i)
        fields += "a:\r\n";
    ClientScript script;
    script.m_start = get("/slow/wait", fields);
    expectBorne(m_relay.clients(), 190, script);
}

// Bodies.

TEST_F(RelayMisuseTest, BodiesThatNeverEndByLength)
{
    ClientScript script;
    script.m_start = post("Content-Length: " + std::to_string(RelayProcess::MaxBodyBytes) + "\r\n");
    script.m_repeated = "a";
    script.m_mostRepeated = RelayProcess::MaxBodyBytes - 1;
    expectBorne(m_relay.clients(), 60, script);
}

TEST_F(RelayMisuseTest, BodiesThatNeverEndInOneChunk)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n") + "1ffff0\r\n";
    script.m_repeated = "a";
    script.m_mostRepeated = 0x1ffff0 - 1;
    expectBorne(m_relay.clients(), 60, script);
}

TEST_F(RelayMisuseTest, BodiesThatNeverEndAtTheForwardAddress)
{
    ClientScript script;
    script.m_start = post("Content-Length: " + std::to_string(RelayProcess::MaxBodyBytes) + "\r\n");
    script.m_repeated = "a";
    script.m_mostRepeated = RelayProcess::MaxBodyBytes - 1;
    expectBorne(m_relay.forward(), 60, script);
}

TEST_F(RelayMisuseTest, ChunkedBodiesOverTheLimitSentAgain)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n");
    script.m_repeated = "8000\r\n" + std::string(0x8000, 'a') + "\r\n";
    script.m_mostRepeated = 8 * Mebibyte;
    script.m_connections = 4;
    expectBorne(m_relay.clients(), 60, script);
}

TEST_F(RelayMisuseTest, ChunksOfOneByte)
{
    ClientScript script;
    script.m_start = post("Transfer-Encoding: chunked\r\n");
    script.m_repeated = "1\r\na\r\n";
    script.m_mostRepeated = 4 * Mebibyte;
    expectBorne(m_relay.clients(), 20, script);
}

TEST_F(RelayMisuseTest, AnnouncedLengthsFarOverTheLimit)
{
    ClientScript script;
    script.m_start = post("Content-Length: 1000000000000\r\n");
    script.m_repeated = "a";
    script.m_mostRepeated = 8 * Mebibyte;
    script.m_connections = 4;
    expectBorne(m_relay.clients(), 60, script);
}

TEST_F(RelayMisuseTest, WholeBodiesToEndpointsThatAreSlow)
{
    ClientScript script;
    script.m_start =
        post("Content-Length: " + std::to_string(RelayProcess::MaxBodyBytes) + "\r\n", "/slow/x");
    script.m_repeated = "a";
    script.m_mostRepeated = RelayProcess::MaxBodyBytes;
    script.m_reading = Reading::Slowly;
    expectBorne(m_relay.clients(), 60, script);
}

// Answers.

TEST_F(RelayMisuseTest, LongAnswersReadSlowly)
{
    ClientScript script;
    script.m_start = get("/slow/x");
    script.m_reading = Reading::Slowly;
    expectBorne(m_relay.clients(), 60, script);
}

TEST_F(RelayMisuseTest, LongAnswersNotRead)
{
    ClientScript script;
    script.m_start = get("/slow/x");
    script.m_reading = Reading::Nothing;
    expectBorne(m_relay.clients(), 60, script);
}

TEST_F(RelayMisuseTest, StreamsReadSlowly)
{
    ClientScript script;
    script.m_start = get("/flow/x", "X-Model: m\r\nX-Token-Counts: 100,200\r\n");
    script.m_reading = Reading::Slowly;
    expectBorne(m_relay.clients(), 90, script);
}

TEST_F(RelayMisuseTest, RefusalsNotRead)
{
    ClientScript script;
    script.m_start.clear();
    script.m_repeated = get("/nowhere/x");
    script.m_mostRepeated = 4 * Mebibyte;
    script.m_reading = Reading::Nothing;
    expectBorne(m_relay.clients(), 100, script);
}

TEST_F(RelayMisuseTest, PipelinedRequestsWithoutEnd)
{
    ClientScript script;
    script.m_repeated = get("/safe/x");
    script.m_mostRepeated = Mebibyte;
    expectBorne(m_relay.clients(), 40, script);
}

TEST_F(RelayMisuseTest, PipelinedRequestsWhoseAnswersAreNotRead)
{
    ClientScript script;
    script.m_repeated = get("/safe/x");
    script.m_mostRepeated = 8 * Mebibyte;
    script.m_reading = Reading::Nothing;
    expectBorne(m_relay.clients(), 190, script);
}

/// As much memory for each connection as on the operators' machines.
class ManyConnectionsTest : public RelayMisuseTest
{
protected:
    ManyConnectionsTest()
        : RelayMisuseTest({ .m_memoryMebibytes = 64, .m_descriptors = 1'400 })
    { }
};

TEST_F(ManyConnectionsTest, PipelinedRequestsWhoseAnswersAreNotRead)
{
    ClientScript script;
    script.m_repeated = get("/safe/x");
    script.m_mostRepeated = 8 * Mebibyte;
    script.m_reading = Reading::Nothing;
    expectBorne(m_relay.clients(), m_relay.limits().clientConnections() - 10, script);
}

TEST_F(ManyConnectionsTest, LongAnswersReadSlowly)
{
    ClientScript script;
    script.m_start = get("/slow/x");
    script.m_reading = Reading::Slowly;
    expectBorne(m_relay.clients(), m_relay.limits().clientConnections() - 10, script);
}

// Connections.

TEST_F(RelayMisuseTest, StalledBodiesOnAllConnections)
{
    ClientScript script;
    script.m_start = post("Content-Length: 100\r\n") + "ten bytes.";
    expectBorne(m_relay.clients(), m_relay.limits().clientConnections() + 40, script);
}

TEST_F(RelayMisuseTest, ContinueNeverFollowedOnAllConnections)
{
    ClientScript script;
    script.m_start = post("Content-Length: 100\r\nExpect: 100-continue\r\n");
    expectBorne(m_relay.clients(), m_relay.limits().clientConnections() + 40, script);
}

TEST_F(RelayMisuseTest, StalledHeadsOnAllConnections)
{
    ClientScript script;
    script.m_start = "POST /safe/x HTTP/1.1\r\nHost: host.example\r\nField: ";
    script.m_repeated = "a";
    script.m_mostRepeated = 15'000;
    script.m_connections = 100;
    expectBorne(m_relay.clients(), m_relay.limits().clientConnections() + 40, script);
}

TEST_F(RelayMisuseTest, AnswersNotReadOnAllConnections)
{
    ClientScript script;
    script.m_start = get("/slow/x");
    script.m_reading = Reading::Nothing;
    expectBorne(m_relay.clients(), m_relay.limits().clientConnections() + 40, script);
}

TEST_F(RelayMisuseTest, BurstsOfConnectionsThatReset)
{
    ClientScript script;
    script.m_start = get("/safe/x");
    script.m_connections = 100;
    script.m_resets = true;
    expectBorne(m_relay.clients(), 100, script);
}

TEST_F(RelayMisuseTest, DescriptorsAreFreeAfterTheCrowdLeft)
{
    const size_t calm = m_relay.daemon().descriptors();
    {
        ClientScript script;
        script.m_start = get("/slow/x");
        script.m_reading = Reading::Slowly;
        Crowd crowd(m_relay.clients(), 100, script);
        crowd.awaitQuiet(Quiet, MostTime);
    }
    ASSERT_TRUE(m_relay.daemon().isAlive());
    // Idle connections to the endpoints are kept.
    constexpr size_t KeptConnections = 100;
    EXPECT_TRUE(platform::eventually(
        [&] { return m_relay.daemon().descriptors() < calm + KeptConnections; }, MostTime))
        << m_relay.daemon().descriptors();
    expectSound("after the crowd");
}

TEST_F(RelayMisuseTest, DrainEndsBesideSlowReadersAndStalledBodies)
{
    ClientScript reader;
    reader.m_start = get("/slow/x");
    reader.m_reading = Reading::Slowly;
    const Crowd readers(m_relay.clients(), 30, reader);
    ClientScript sender;
    sender.m_start = post("Content-Length: 100\r\n") + "ten bytes.";
    const Crowd senders(m_relay.clients(), 30, sender);
    senders.awaitQuiet(Quiet, MostTime);
    m_relay.daemon().process().signal(SIGTERM);
    const auto exit = m_relay.daemon().process().awaitExit();
    ASSERT_TRUE(exit);
    EXPECT_EQ(exit->m_signal, 0);
    EXPECT_EQ(exit->m_status, 0);
}

} // namespace
} // namespace stackquay::misuse
