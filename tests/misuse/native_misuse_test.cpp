// The same of the native daemon: its callers' address, services and completions.

#include <iostream>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/integration/daemon_pair.h"
#include "tests/misuse/crowd.h"
#include "tests/misuse/watched_process.h"
#include "tests/support/raw_exchange.h"

namespace stackquay::misuse {
namespace {

using standin::EngineStandin;
using standin::Hosted;

constexpr size_t Mebibyte = size_t(1) << 20;
constexpr size_t MemoryBytes = 64 * Mebibyte;
constexpr size_t ClientMemoryBytes = 20 * Mebibyte;
constexpr size_t KillAboveBytes = 4 * MemoryBytes;
constexpr size_t MaxBodyBytes = 2 * Mebibyte;
constexpr size_t LongAnswerBytes = 3 * Mebibyte / 2;
constexpr size_t Connections = 200;
constexpr size_t MaxDescriptors = 600;
constexpr Duration Quiet = Millis(700);
constexpr Duration MostTime = Seconds(20);

/// Answers /long with a long body, everything else with a short one.
class LongAnswerService
{
public:
    explicit LongAnswerService(FiberThread &thread)
        : m_server(thread, answer)
    { }

    Result<Address> listen(const Address &address) { return m_server.listen(address); }

private:
    static void answer(HttpExchange &exchange)
    {
        const bool isLong = exchange.request().path() == "/long";
        const std::string attempt(findHeader(exchange.request().m_headers, "Stackquay-Attempt-Id"));
        exchange.respond({ 200,
                           { { "Stackquay-Attempt-Id", attempt } },
                           std::string(isLong ? LongAnswerBytes : 10, 'a') });
    }

    HttpServer m_server;
};

std::string head(const std::string &method, const std::string &path, const std::string &more = "")
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: host.example\r\nAuthorization: Bearer key\r\n"
                       "Stackquay-Deadline: 30000\r\n{}",
                       method, path, more);
}

class NativeMisuseTest : public testing::Test
{
protected:
    void SetUp() override
    {
        m_client.start();
        declareIntent();
        ProcessOptions options;
        options.m_program = "stackquayd";
        options.m_arguments = { "--vm",          "vm-1",
                                "--data-centre", DataCentreName,
                                "--platform",    toString(m_platform.address()),
                                "--charts",      STACKQUAY_SOURCE_DIR "/charts",
                                "--threads",     "2",
                                "--log-level",   "error" };
        options.m_environment = {
            fmt::format("STACKQUAY_MAX_BODY_BYTES={}", MaxBodyBytes),
            fmt::format("STACKQUAY_CLIENT_MEMORY_BYTES={}", ClientMemoryBytes),
            fmt::format("STACKQUAY_MAX_CONNECTIONS={}", Connections),
        };
        auto process = Process::start(options);
        ASSERT_TRUE(process);
        m_daemon = std::make_unique<WatchedProcess>(std::move(*process), KillAboveBytes);
        const auto address = m_daemon->process().awaitReady("address");
        ASSERT_TRUE(address);
        m_address = *parseAddress(*address);
        const TimePoint until = Clock::now() + MostTime;
        while (!ordinaryResponse().starts_with("HTTP/1.1 200")) {
            ASSERT_LT(Clock::now(), until) << ordinaryResponse();
            std::this_thread::sleep_for(PollPause);
        }
    }

    void TearDown() override
    {
        m_daemon.reset();
        m_client.stop();
        m_client.join();
    }

    void declareIntent()
    {
        Intent intent = oneModelIntent();
        Service service;
        service.m_id = ServiceId("entry-desk");
        service.m_repeatable = true;
        intent.m_services = { service };
        intent.m_endpoints = { engineAt("e1", m_engine.address()),
                               engineAt("s1", m_service.address()) };
        intent.m_endpoints[1].m_models = {};
        intent.m_endpoints[1].m_kind = EndpointKind::Service;
        intent.m_endpoints[1].m_service = service.m_id;
        publish(m_platform, intent);
    }

    std::string ordinaryResponse()
    {
        return beginRawExchange(m_client, m_address,
                                head("GET", "/service/entry-desk/x", "Connection: close\r\n\r\n"))
            .get();
    }

    void expectSound(const char *when)
    {
        ASSERT_TRUE(m_daemon->isAlive()) << when << ", peak " << m_daemon->peakBytes() / Mebibyte;
        const std::string response = ordinaryResponse();
        EXPECT_TRUE(response.starts_with("HTTP/1.1 200")) << when << ": '" << response << "'";
        EXPECT_LT(m_daemon->peakBytes(), MemoryBytes);
        EXPECT_LT(m_daemon->mostDescriptors(), MaxDescriptors);
    }

    void expectBorne(size_t clients, const ClientScript &script)
    {
        {
            const Crowd crowd(m_address, clients, script);
            crowd.awaitQuiet(Quiet, MostTime);
            expectSound("beside the crowd");
            std::cout << "[ MEASURED ] " << clients << " clients sent "
                      << crowd.sentBytes() / Mebibyte << " MiB, open " << crowd.openConnections()
                      << ", peak " << m_daemon->peakBytes() / Mebibyte << " MiB, descriptors "
                      << m_daemon->mostDescriptors();
            for (const auto &[status, count] : crowd.statuses())
                std::cout << ", " << status << ": " << count;
            std::cout << "\n";
        }
        if (!HasFatalFailure())
            expectSound("after the crowd");
    }

    HostedPlatform m_platform;
    Hosted<EngineStandin> m_engine{ standin::EngineSettings{} };
    Hosted<LongAnswerService> m_service;
    FiberThread m_client{ "client" };
    std::unique_ptr<WatchedProcess> m_daemon;
    Address m_address;
};

TEST_F(NativeMisuseTest, TrailersWithoutEnd)
{
    ClientScript script;
    script.m_start = head("POST", "/service/entry-desk/x", "Transfer-Encoding: chunked\r\n\r\n")
                     + "1\r\na\r\n0\r\n";
    script.m_repeated = "Trailer-Field: " + std::string(100, 'a') + "\r\n";
    script.m_mostRepeated = 16 * Mebibyte;
    expectBorne(20, script);
}

TEST_F(NativeMisuseTest, BodiesThatNeverEnd)
{
    ClientScript script;
    script.m_start = head("POST", "/service/entry-desk/x",
                          fmt::format("Content-Length: {}\r\n\r\n", MaxBodyBytes));
    script.m_repeated = "a";
    script.m_mostRepeated = MaxBodyBytes - 1;
    expectBorne(60, script);
}

TEST_F(NativeMisuseTest, LongPromptsSentAgain)
{
    const std::string start = R"({"model":"hint-forge","max_tokens":1,"prompt":")";
    const std::string end = R"("})";
    ClientScript script;
    script.m_start =
        head("POST", "/v1/completions", fmt::format("Content-Length: {}\r\n\r\n", MaxBodyBytes))
        + start + std::string(MaxBodyBytes - start.size() - end.size(), 'a') + end;
    script.m_connections = 2;
    expectBorne(40, script);
}

TEST_F(NativeMisuseTest, LongAnswersReadSlowly)
{
    ClientScript script;
    script.m_start = head("GET", "/service/entry-desk/long", "\r\n");
    script.m_reading = Reading::Slowly;
    expectBorne(60, script);
}

TEST_F(NativeMisuseTest, StalledBodiesOnAllConnections)
{
    ClientScript script;
    script.m_start = head("POST", "/service/entry-desk/x", "Content-Length: 100\r\n\r\n");
    expectBorne(Connections + 40, script);
}

} // namespace
} // namespace stackquay::misuse
