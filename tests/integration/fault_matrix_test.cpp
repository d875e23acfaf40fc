/// Every fault in every state of a request: real daemons, and stand-ins behind a faulty network.
///
/// The states come from charts/request.scxml; one that no case knows how to reach fails the matrix.
#include <csignal>
#include <future>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <pugixml.hpp>

#include "daemon_pair.h"

namespace stackquay {
namespace {

using standin::RelayMode;

enum class Fault {
    None,
    StewardKilled,
    StewardPaused,
    EngineDead,
    EnginesCut,
    EnginesReset,
    EnginesDelayed,
    StoreDown,
    CallerGone,
    NodeTerminated,
    NodeKilled,
};

constexpr std::pair<Fault, const char *> Faults[] = {
    { Fault::None, "None" },
    { Fault::StewardKilled, "StewardKilled" },
    { Fault::StewardPaused, "StewardPaused" },
    { Fault::EngineDead, "EngineDead" },
    { Fault::EnginesCut, "EnginesCut" },
    { Fault::EnginesReset, "EnginesReset" },
    { Fault::EnginesDelayed, "EnginesDelayed" },
    { Fault::StoreDown, "StoreDown" },
    { Fault::CallerGone, "CallerGone" },
    { Fault::NodeTerminated, "NodeTerminated" },
    { Fault::NodeKilled, "NodeKilled" },
};

constexpr uint64_t AnswerTokens = 60;
constexpr uint64_t LongPromptTokens = 20'000;
constexpr Millis LinkDelay{ 20 };

/// States of the chart that are not final.
std::vector<std::string> chartStates()
{
    pugi::xml_document document;
    document.load_file(STACKQUAY_SOURCE_DIR "/charts/request.scxml");
    std::vector<std::string> states;
    for (const auto &found : document.select_nodes("//state"))
        states.emplace_back(found.node().attribute("id").value());
    return states;
}

struct Case {
    std::string m_state;
    Fault m_fault = Fault::None;
};

std::vector<Case> allCases()
{
    std::vector<Case> cases;
    for (const std::string &state : chartStates()) {
        for (const auto &[fault, name] : Faults)
            cases.push_back({ state, fault });
    }
    return cases;
}

std::string caseName(const testing::TestParamInfo<Case> &info)
{
    for (const auto &[fault, name] : Faults) {
        if (fault == info.param.m_fault)
            return info.param.m_state + "_" + name;
    }
    return info.param.m_state;
}

class FaultMatrix : public testing::TestWithParam<Case>
{
protected:
    FaultMatrix()
    {
        for (auto &engine : m_engines)
            m_links.push_back(*m_relay->addTarget(engine.address()));
        m_relayThread.start();
        m_client.start();
        declareIntent();
        const auto [entry, steward] = nodeNames();
        m_steward = startDaemon(m_platform, steward, {}, { "--drain-lag", "0ms" });
        m_entry =
            startDaemon(m_platform, entry, *m_steward->awaitReady("udp"), { "--drain-lag", "0ms" });
        m_entryAddress = *parseAddress(*m_entry->awaitReady("address"));
        const Address other = *parseAddress(*m_steward->awaitReady("address"));
        for (const Address &address : { m_entryAddress, other })
            awaitEvent([&] { return metric(address, "stackquay_members") == 2; });
    }

    ~FaultMatrix() override
    {
        m_entry->signal(SIGCONT);
        m_steward->signal(SIGCONT);
        m_client.stop();
        m_client.join();
        m_relayThread.stop();
        m_relayThread.join();
    }

    void declareIntent()
    {
        Intent intent = oneModelIntent();
        for (size_t i = 0; i < m_links.size(); ++i)
            intent.m_endpoints.push_back(engineAt("e" + std::to_string(i), m_links[i]));
        publish(m_platform, intent);
    }

    template<typename T>
    T onClient(std::function<T()> function)
    {
        std::promise<T> done;
        m_client.post([&] { done.set_value(function()); });
        return done.get_future().get();
    }

    /// The value of an unlabelled metric of a daemon; 0 if it cannot be read.
    double metric(const Address &daemon, const std::string &name)
    {
        const std::string text = onClient<std::string>([&] {
            const auto answer = m_pool.call(daemon, { "GET", "/metrics", {}, "" }, { Seconds(5) });
            return answer ? answer->m_body : std::string();
        });
        const size_t line = text.find("\n" + name + " ");
        return line == std::string::npos ? 0 : std::stod(text.substr(line + name.size() + 2));
    }

    double entryMetric(const std::string &name) { return metric(m_entryAddress, name); }

    uint64_t accepted()
    {
        uint64_t sum = 0;
        for (auto &engine : m_engines)
            sum += engine->stats().m_accepted;
        return sum;
    }

    void setEngines(const EngineFault &fault)
    {
        for (auto &engine : m_engines)
            engine->setFault(fault);
    }

    /// Makes the next request come to a stop, or to pass slowly, in the case's state.
    bool hold(const std::string &state)
    {
        m_prompt = "a clue for " + state;
        if (state == "placing") {
            setEngines({ EngineFaultMode::Refuse, 1'000'000, 0, "no_memory" });
        } else if (state == "sending") {
            setEngines({ EngineFaultMode::Hang, 1, 0, "" });
        } else if (state == "resuming") {
            setEngines({ EngineFaultMode::CutAfter, 1'000'000, 5, "" });
        } else if (state == "backing_off") {
            m_relay->setFault({ RelayMode::Reset });
        } else if (state == "prefilling") {
            m_prompt.resize(LongPromptTokens * BytesPerToken, 'x');
        } else if (state != "streaming") {
            return false;
        }
        return true;
    }

    void awaitState(const std::string &state)
    {
        const auto refused = [&] {
            return m_engines[0]->stats().m_refused + m_engines[1]->stats().m_refused > 0;
        };
        if (state == "placing")
            awaitEvent([&] { return refused() || ended(); });
        else if (state == "sending")
            awaitEvent([&] { return entryMetric("stackquay_attempts_total") > 0; });
        else if (state == "streaming")
            awaitEvent([&] { return entryMetric("stackquay_tokens_total") > 0; });
        else if (state == "resuming")
            awaitEvent([&] { return entryMetric("stackquay_resumes_total") > 0; });
        else if (state == "backing_off")
            awaitEvent([&] { return entryMetric("stackquay_retries_total") > 0 || ended(); });
        else
            awaitEvent([&] { return accepted() > 0; });
    }

    void inject(Fault fault)
    {
        switch (fault) {
        case Fault::None:
            break;
        case Fault::StewardKilled:
            m_steward->signal(SIGKILL);
            EXPECT_TRUE(m_steward->awaitExit());
            break;
        case Fault::StewardPaused:
            EXPECT_TRUE(m_steward->pause());
            break;
        case Fault::EngineDead:
            m_engines[0]->setFault({ EngineFaultMode::Die, 1, 0, "" });
            break;
        case Fault::EnginesCut:
            m_relay->setFault({ RelayMode::Cut });
            break;
        case Fault::EnginesReset:
            m_relay->setFault({ RelayMode::Reset });
            break;
        case Fault::EnginesDelayed:
            m_relay->setFault({ RelayMode::Delay, LinkDelay });
            break;
        case Fault::StoreDown:
            m_platform->setFault({ PlatformFaultMode::Down, Millis(0), 0 });
            break;
        case Fault::CallerGone:
            m_client.post([connection = m_connection] { connection->cancel(); });
            break;
        case Fault::NodeTerminated:
            m_entry->signal(SIGTERM);
            break;
        case Fault::NodeKilled:
            m_entry->signal(SIGKILL);
            EXPECT_TRUE(m_entry->awaitExit());
            break;
        }
    }

    /// Ends what held the request; the fault stays, but for cuts of the network, which heal.
    void lift(Fault fault)
    {
        for (size_t i = 0; i < std::size(m_engines); ++i) {
            if (fault != Fault::EngineDead || i != 0)
                m_engines[i]->setFault({});
        }
        if (fault != Fault::EnginesDelayed)
            m_relay->setFault({ RelayMode::Pass });
        if (fault == Fault::StewardPaused)
            m_steward->signal(SIGCONT);
    }

    void ask()
    {
        m_connection = std::make_shared<HttpConnection>(m_client.context());
        const nlohmann::json body{ { "model", ModelName },
                                   { "prompt", m_prompt },
                                   { "max_tokens", AnswerTokens } };
        HttpRequest request{ "POST", "/v1/completions", {}, body.dump() };
        request.m_headers = { { "Authorization", "Bearer key" },
                              { "Stackquay-Deadline", "30000" } };
        m_answer = m_promise.get_future();
        m_client.post([this, request, connection = m_connection] {
            auto answer = converse(*connection, request);
            m_ended = true;
            m_promise.set_value(std::move(answer));
        });
    }

    Result<HttpResponse> converse(HttpConnection &connection, const HttpRequest &request)
    {
        const Status connected = connection.connect(m_entryAddress, Seconds(10));
        if (!connected)
            return tl::unexpected(connected.error());
        const Status sent = connection.send(request, Seconds(10));
        if (!sent)
            return tl::unexpected(sent.error());
        auto answer = connection.readHeader(Seconds(60));
        if (!answer)
            return answer;
        auto text = connection.readWhole(Seconds(60));
        if (!text)
            return tl::unexpected(text.error());
        answer->m_body = std::move(*text);
        return answer;
    }

    bool ended() const { return m_ended; }

    /// Whole and right, or a truthful failure.
    void checkAnswer(const Result<HttpResponse> &answer, Fault fault)
    {
        if (!answer) {
            EXPECT_TRUE(fault == Fault::CallerGone || fault == Fault::NodeKilled)
                << toString(answer.error());
            return;
        }
        const auto json = nlohmann::json::parse(answer->m_body, nullptr, false);
        ASSERT_TRUE(json.is_object()) << answer->m_body;
        if (answer->m_status == 200) {
            const uint64_t tokens = json["usage"]["completion_tokens"];
            EXPECT_EQ(json["choices"][0]["text"], expectedAnswer(m_prompt, 0, tokens));
            EXPECT_TRUE(json["choices"][0]["finish_reason"] == "stop" || tokens == AnswerTokens);
            return;
        }
        const std::string_view outcome = findHeader(answer->m_headers, "Stackquay-Outcome");
        EXPECT_TRUE(outcome == "not-run" || outcome == "may-have-run") << answer->m_body;
        if (outcome == "not-run") {
            EXPECT_EQ(accepted(), 0u) << answer->m_body;
        }
        const bool harmless = fault == Fault::None || fault == Fault::StoreDown
                              || fault == Fault::EnginesDelayed || fault == Fault::NodeTerminated;
        const bool heldByFault =
            GetParam().m_state == "placing" || GetParam().m_state == "backing_off";
        EXPECT_TRUE(!harmless || heldByFault) << answer->m_body;
    }

    /// No engine keeps memory for a request that has ended.
    void checkMemory()
    {
        for (auto &engine : m_engines) {
            awaitEvent([&] {
                const auto stats = engine->stats();
                return stats.m_running == 0 && stats.m_waiting == 0 && stats.m_memoryUsed == 0;
            });
        }
    }

    Hosted<PlatformStandin> m_platform;
    Hosted<EngineStandin> m_engines[2];
    FiberThread m_relayThread{ "relay" };
    std::unique_ptr<FaultRelay> m_relay = std::make_unique<FaultRelay>(m_relayThread);
    std::vector<Address> m_links;
    FiberThread m_client{ "client" };
    HttpPool m_pool{ m_client.context() };
    std::unique_ptr<Process> m_steward;
    std::unique_ptr<Process> m_entry;
    Address m_entryAddress;
    std::string m_prompt;
    std::shared_ptr<HttpConnection> m_connection;
    std::promise<Result<HttpResponse>> m_promise;
    std::future<Result<HttpResponse>> m_answer;
    std::atomic<bool> m_ended{ false };
};

TEST_P(FaultMatrix, AnswerIsWholeOrTruthfulAndMemoryIsFree)
{
    const Case &parameter = GetParam();
    ASSERT_TRUE(hold(parameter.m_state)) << "no way is known to reach " << parameter.m_state;
    ask();
    awaitState(parameter.m_state);
    inject(parameter.m_fault);
    lift(parameter.m_fault);
    checkAnswer(m_answer.get(), parameter.m_fault);
    if (parameter.m_fault == Fault::NodeTerminated) {
        const auto exit = m_entry->awaitExit();
        ASSERT_TRUE(exit);
        EXPECT_EQ(exit->m_status, 0);
    }
    checkMemory();
}

INSTANTIATE_TEST_SUITE_P(Request, FaultMatrix, testing::ValuesIn(allCases()), caseName);

} // namespace
} // namespace stackquay
