/// Grants of a steward while VMs drain and stop.
#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "entry/entry.h"
#include "standin/standin.h"

namespace stackquay {
namespace {

using standin::EngineStandin;
using standin::Hosted;

NodeSettings nodeSettings()
{
    NodeSettings settings;
    settings.m_vm = VmId("vm-1");
    settings.m_incarnation = "i";
    settings.m_dataCentre = DataCentreId("dundee-hall");
    return settings;
}

class StewardServiceTest : public testing::Test
{
protected:
    StewardServiceTest()
        : m_node(nodeSettings(), *loadRequestChart(STACKQUAY_SOURCE_DIR "/charts"))
        , m_server(m_thread, {}, m_node.m_peerTraffic)
        , m_stewards(m_node, m_thread, m_server)
        , m_client(m_thread.context(), {}, m_node.m_peerTraffic)
        , m_address(*m_server.listen(Address{}))
    {
        Intent intent;
        intent.m_dataCentres = { { DataCentreId("dundee-hall"), {}, {} } };
        Model model;
        model.m_id = ModelId("hint-forge");
        intent.m_models = { model };
        Endpoint endpoint;
        endpoint.m_id = EndpointId("e1");
        endpoint.m_address = toString(m_engine.address());
        endpoint.m_dataCentre = DataCentreId("dundee-hall");
        endpoint.m_models = { model.m_id };
        intent.m_endpoints = { endpoint };
        m_view = buildRoutingView(std::make_shared<const Intent>(std::move(intent)),
                                  DataCentreId("dundee-hall"), { { VmId("vm-1"), m_address } }, {});
        m_thread.start();
    }

    ~StewardServiceTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    template<typename T>
    T onThread(std::function<T()> function)
    {
        std::promise<T> done;
        m_thread.post([&] { done.set_value(function()); });
        return done.get_future().get();
    }

    /// Requests a grant for another VM and reports its start. Returns whether both succeeded.
    bool startRequest()
    {
        AskGrant ask;
        ask.m_shard = m_view->findModel(ModelId("hint-forge"))->m_endpoints[0].m_shard;
        ask.m_request = RequestId("r1");
        ask.m_attempt = AttemptId("a1");
        ask.m_holder = VmId("vm-2");
        ask.m_model = ModelId("hint-forge");
        ask.m_need.m_promptTokens = 10;
        ask.m_need.m_outputTokens = 10;
        ask.m_mayWait = false;
        ask.m_remainingUs = 60'000'000;
        const auto granted = m_client.call(m_address, ask, Seconds(5));
        if (!granted || static_cast<GrantAnswer>(granted->m_answer) != GrantAnswer::Granted)
            return false;
        GrantUpdate update;
        update.m_step = static_cast<uint32_t>(GrantStep::Started);
        update.m_grant = granted->m_grant;
        update.m_remainingUs = 60'000'000;
        return m_client.call(m_address, update, Seconds(5)).has_value();
    }

    size_t grantsAfter(const std::set<VmId> &serving)
    {
        return onThread<size_t>([&] {
            m_stewards.update(*m_view, serving);
            return m_stewards.grants();
        });
    }

    FiberThread m_thread{ "control" };
    Node m_node;
    PeerServer m_server;
    StewardService m_stewards;
    PeerClient m_client;
    Address m_address;
    Hosted<EngineStandin> m_engine;
    RoutingViewPtr m_view;
};

// Guards against releasing the grants of a draining VM too early: it holds no role any more, but
// its requests still use the engine's memory until they finish.
TEST_F(StewardServiceTest, GrantsOfADrainingVmLastUntilItStops)
{
    const VmId self("vm-1");
    const VmId leaving("vm-2");
    EXPECT_EQ(grantsAfter({ self, leaving }), 0u);
    onThread<bool>([&] {
        m_stewards.start();
        return true;
    });
    // The steward grants nothing before the first poll of the engine's memory.
    while (!onThread<bool>([&] { return startRequest(); }))
        std::this_thread::sleep_for(Millis(20));
    EXPECT_EQ(grantsAfter({ self, leaving }), 1u);
    EXPECT_EQ(grantsAfter({ self }), 0u);
}

} // namespace
} // namespace stackquay
