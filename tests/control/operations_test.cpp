/// A whole daemon with stand-ins: orders reach the engine, and the operators' answers tell of them.
#include <gtest/gtest.h>

#include "control/control.h"
#include "standin/standin.h"

namespace stackquay {
namespace {

using standin::EngineSettings;
using standin::EngineStandin;
using standin::Hosted;
using standin::PlatformStandin;

constexpr Millis PollPause{ 20 };

EngineSettings engineWithOldVersion()
{
    EngineSettings settings;
    settings.m_models = { "hint-forge:1" };
    settings.m_checkFencing = true;
    return settings;
}

class OperationsTest : public testing::Test
{
protected:
    OperationsTest()
        : m_engine(engineWithOldVersion())
    {
        m_client.start();
        declare();
        DaemonSettings settings;
        settings.m_vm = "desk-1";
        settings.m_dataCentre = "dundee-hall";
        settings.m_platform = { toString(m_platform.address()) };
        settings.m_charts = std::string(STACKQUAY_SOURCE_DIR) + "/charts";
        settings.m_threads = 1;
        settings.m_drainLag = Millis(0);
        m_daemon = std::move(*Daemon::start(settings));
        m_ctl.m_addresses = { toString(m_daemon->httpAddress()) };
        m_ctl.m_key = "ann-key";
    }

    ~OperationsTest() override
    {
        m_daemon.reset();
        m_client.stop();
        m_client.join();
    }

    void declare()
    {
        Intent intent;
        intent.m_regions = { { RegionId("lowlands") } };
        intent.m_dataCentres = { { DataCentreId("dundee-hall"), RegionId("lowlands"), {} } };
        Model model;
        model.m_id = ModelId("hint-forge");
        model.m_version = "2";
        model.m_adapters = { "walkthrough" };
        intent.m_models = { model };
        Endpoint engine;
        engine.m_id = EndpointId("e1");
        engine.m_address = toString(m_engine.address());
        engine.m_dataCentre = DataCentreId("dundee-hall");
        engine.m_models = { ModelId("hint-forge") };
        intent.m_endpoints = { engine };
        intent.m_operators = { { "ann", hashKey("ann-key"), OperatorRole::Change } };
        m_ctl.m_platform = { toString(m_platform.address()) };
        const CommandAnswer answer = declareFirstIntent(m_ctl, encodeIntent(intent));
        ASSERT_EQ(answer.m_outcome, CommandOutcome::Committed) << answer.m_text;
    }

    HttpResponse get(const Address &address, const std::string &target, const HttpHeaders &headers)
    {
        std::promise<Result<HttpResponse>> answer;
        m_client.post([&] {
            HttpPool pool(m_client.context());
            answer.set_value(pool.call(address, { "GET", target, headers, "" }));
        });
        return answer.get_future().get().value_or(HttpResponse{ 0, {}, "" });
    }

    CommandAnswer ask(const std::string &statement) { return sendCommand(m_ctl, statement); }

    /// Asks until the answer has @p text; the test's own limit ends a wait in vain.
    std::string askUntil(const std::string &statement, const std::string &text)
    {
        for (;;) {
            const CommandAnswer answer = ask(statement);
            if (answer.m_text.find(text) != std::string::npos)
                return answer.m_text;
            std::this_thread::sleep_for(PollPause);
        }
    }

    Hosted<PlatformStandin> m_platform;
    Hosted<EngineStandin> m_engine;
    FiberThread m_client{ "client" };
    CtlSettings m_ctl;
    std::unique_ptr<Daemon> m_daemon;
};

TEST_F(OperationsTest, engineComesToWhatIsDeclared)
{
    askUntil("why endpoint e1", "reported: hint-forge 2 with walkthrough");
    EXPECT_NE(ask("why model hint-forge in dundee-hall").m_text.find("serves on all 1"),
              std::string::npos);
    // The orders shown are those of the last round; the next one finds nothing left to do.
    while (ask("show orders").m_result["rows"].size() > 0)
        std::this_thread::sleep_for(PollPause);
    // Only then: the old version is taken away by an order of its own, after the new one serves.
    const std::string why = ask("why endpoint e1").m_text;
    EXPECT_NE(why.find("reported: hint-forge 2 with walkthrough"), std::string::npos) << why;
    EXPECT_EQ(why.find("hint-forge 1"), std::string::npos) << why;
    const CommandAnswer leases = ask("show leases holder, fence");
    ASSERT_EQ(leases.m_result["rows"].size(), 1u) << leases.m_text;
    EXPECT_EQ(leases.m_result["rows"][0]["holder"], "desk-1");
    m_ctl.m_wait = true;
    EXPECT_EQ(ask("set model hint-forge adapters = []").m_outcome, CommandOutcome::Committed);
    askUntil("why endpoint e1", "reported: hint-forge 2\n");
}

TEST_F(OperationsTest, reportNeedsAnOperator)
{
    askUntil("show vms", "desk-1");
    const Address address = m_daemon->httpAddress();
    EXPECT_EQ(get(address, "/report", {}).m_status, 401u);
    const HttpResponse text =
        get(address, "/report?format=text", { { "Authorization", "Bearer ann-key" } });
    EXPECT_EQ(text.m_status, 200u);
    EXPECT_NE(text.m_body.find("Burn report of dundee-hall"), std::string::npos) << text.m_body;
    // The password of "ann:ann-key".
    const HttpResponse page =
        get(address, "/report", { { "Authorization", "Basic YW5uOmFubi1rZXk=" } });
    EXPECT_EQ(page.m_status, 200u);
    EXPECT_NE(page.m_body.find("</html>"), std::string::npos);
}

} // namespace
} // namespace stackquay
