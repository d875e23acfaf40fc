// Commands over HTTP against the platform's stand-in.
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "control/control.h"
#include "standin/standin.h"

namespace stackquay {
namespace {

std::string carrickIntent()
{
    std::ifstream file(STACKQUAY_SOURCE_DIR "/examples/carrick/intent.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// What a daemon wires together: store, control thread, and a traffic thread with the route.
class CommandServer
{
public:
    explicit CommandServer(const Address &platform)
        : m_store(m_control.context(), storeSettings(platform), RandomEngine(1))
        , m_intents(m_store, m_control.context(), {}, RandomEngine(2))
    {
        bindStore(m_environment, m_intents, m_store);
        m_environment.m_intent = [this]() -> std::shared_ptr<const Intent> {
            const Result<IntentState> state = m_intents.load();
            if (!state || state->m_revision == 0)
                return nullptr;
            Intent intent = *decodeIntent(state->m_snapshot);
            intent.m_revision = state->m_revision;
            return std::make_shared<const Intent>(std::move(intent));
        };
        m_environment.m_committed = [](const IntentState &) {};
        m_environment.m_runtime = [] { return RuntimeState(); };
        m_environment.m_now = [] { return Clock::now(); };
        m_environment.m_sleep
                = [this](Duration duration) { return sleepFor(m_control.context(), duration); };
        m_server = std::make_unique<HttpServer>(m_traffic,
                                                makeCommandHandler(m_control, m_environment));
        m_address = *m_server->listen(Address{});
        m_control.start();
        m_traffic.start();
    }

    ~CommandServer()
    {
        m_traffic.stop();
        m_traffic.join();
        m_control.stop();
        m_control.join();
    }

    std::string address() const { return toString(m_address); }

private:
    static StoreSettings storeSettings(const Address &platform)
    {
        StoreSettings settings;
        settings.m_addresses = { platform };
        return settings;
    }

    FiberThread m_control{ "control" };
    FiberThread m_traffic{ "traffic" };
    StoreClient m_store;
    IntentStore m_intents;
    CommandEnvironment m_environment;
    std::unique_ptr<HttpServer> m_server;
    Address m_address;
};

class CommandHttp : public testing::Test
{
protected:
    CommandHttp()
    {
        m_settings.m_platform = { toString(m_platform.address()) };
        m_settings.m_addresses = { m_server.address() };
        m_settings.m_key = "carrick-operator-key";
    }

    CommandAnswer init() { return declareFirstIntent(m_settings, carrickIntent()); }

    Hosted<PlatformStandin> m_platform;
    CommandServer m_server{ m_platform.address() };
    CtlSettings m_settings;
};

TEST_F(CommandHttp, initDeclaresOnceAndCommandsFollow)
{
    EXPECT_EQ(sendCommand(m_settings, "show models").m_outcome, CommandOutcome::NotPermitted);
    EXPECT_EQ(init().m_outcome, CommandOutcome::Committed);
    EXPECT_EQ(init().m_outcome, CommandOutcome::Conflict);
    const CommandAnswer changed = sendCommand(m_settings, "promote model hint-forge version 2026-12");
    EXPECT_EQ(changed.m_outcome, CommandOutcome::Committed) << changed.m_text;
    EXPECT_EQ(changed.m_revision, 2u);
    EXPECT_EQ(sendCommand(m_settings, "show models version").m_text, "version\n2026-12\n");
    EXPECT_EQ(sendCommand(m_settings, "undo 2").m_outcome, CommandOutcome::Committed);
    EXPECT_EQ(sendCommand(m_settings, "history").m_result["rows"].size(), 3u);
    m_settings.m_key = "wrong";
    EXPECT_EQ(sendCommand(m_settings, "show models").m_outcome, CommandOutcome::NotPermitted);
}

TEST_F(CommandHttp, initRefusesAnUnsoundIntent)
{
    const CommandAnswer answer = declareFirstIntent(
            m_settings, R"({"data_centres":[{"name":"d","region":"r"}]})");
    EXPECT_EQ(answer.m_outcome, CommandOutcome::Refused);
    EXPECT_EQ(answer.m_text, "data_centre d, region: found \"r\", allowed none, as none is "
                             "declared.\n");
}

TEST_F(CommandHttp, lostStoreAnswerIsSettled)
{
    ASSERT_EQ(init().m_outcome, CommandOutcome::Committed);
    // Snapshot and head: the answers to both writes are lost.
    m_platform->setFault({ PlatformFaultMode::LoseAnswer, Millis(0), 2 });
    const CommandAnswer answer = sendCommand(m_settings, "drain endpoint hint-forge-dundee-hall-01");
    EXPECT_EQ(answer.m_outcome, CommandOutcome::Committed) << answer.m_text;
    EXPECT_EQ(answer.m_revision, 2u);
}

TEST_F(CommandHttp, deadDaemonIsPassedOver)
{
    ASSERT_EQ(init().m_outcome, CommandOutcome::Committed);
    m_settings.m_addresses.insert(m_settings.m_addresses.begin(), "127.0.0.1:1");
    EXPECT_EQ(sendCommand(m_settings, "show regions").m_outcome, CommandOutcome::Answered);
    m_settings.m_addresses = { "127.0.0.1:1" };
    EXPECT_EQ(sendCommand(m_settings, "show regions").m_outcome, CommandOutcome::Unavailable);
}

} // namespace
} // namespace stackquay
