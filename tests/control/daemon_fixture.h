/// Whole daemons in one process, with stand-ins of the platform, an engine and a service.
#pragma once

#include <gtest/gtest.h>

#include "control/control.h"
#include "standin/standin.h"

namespace stackquay {

using standin::EngineFaultMode;
using standin::EngineSettings;
using standin::EngineStandin;
using standin::Hosted;
using standin::PlatformFaultMode;
using standin::PlatformStandin;
using standin::ServiceStandin;

constexpr Millis PollPause{ 5 };

/// Waits for an event that another thread brings about; the test's own limit ends a wait in vain.
template<typename Condition>
void awaitEvent(Condition condition)
{
    while (!condition())
        std::this_thread::sleep_for(PollPause);
}

inline EngineSettings quickEngine()
{
    EngineSettings settings;
    settings.m_limits.m_timeScale = 0;
    return settings;
}

class DaemonTest : public testing::Test
{
protected:
    DaemonTest()
        : m_engine(quickEngine())
        , m_otherEngine(quickEngine())
    {
        m_client.start();
    }

    ~DaemonTest() override
    {
        m_daemons.clear();
        m_client.stop();
        m_client.join();
    }

    Endpoint endpoint(const std::string &name, const Address &address) const
    {
        Endpoint endpoint;
        endpoint.m_id = EndpointId(name);
        endpoint.m_address = toString(address);
        endpoint.m_dataCentre = DataCentreId("dundee-hall");
        return endpoint;
    }

    Intent intent() const
    {
        Intent intent;
        intent.m_revision = 1;
        intent.m_dataCentres = { { DataCentreId("dundee-hall"), {}, {} } };
        Model model;
        model.m_id = ModelId("hint-forge");
        intent.m_models = { model };
        Service service;
        service.m_id = ServiceId("entry-desk");
        service.m_repeatable = false;
        intent.m_services = { service };
        for (const auto &[name, engine] :
             { std::pair{ "e1", &m_engine }, { "e2", &m_otherEngine } }) {
            intent.m_endpoints.push_back(endpoint(name, engine->address()));
            intent.m_endpoints.back().m_models = { ModelId("hint-forge") };
        }
        intent.m_endpoints.push_back(endpoint("s1", m_service.address()));
        intent.m_endpoints.back().m_kind = EndpointKind::Service;
        intent.m_endpoints.back().m_service = ServiceId("entry-desk");
        Customer customer;
        customer.m_id = CustomerId("solver-app");
        customer.m_keyHashes = { hashKey("key") };
        intent.m_customers = { customer };
        return intent;
    }

    void declare(const Intent &intent)
    {
        const std::string key = "intent/snapshot/" + std::to_string(intent.m_revision);
        m_platform->put(key, encodeIntent(intent));
        IntentHead head;
        head.m_revision = intent.m_revision;
        head.m_snapshot = key;
        m_platform->put(IntentHeadKey, formatIntentHead(head));
    }

    Daemon &startDaemon(const std::string &name)
    {
        DaemonSettings settings;
        settings.m_vm = name;
        settings.m_dataCentre = "dundee-hall";
        settings.m_platform = { toString(m_platform.address()) };
        settings.m_charts = std::string(STACKQUAY_SOURCE_DIR) + "/charts";
        settings.m_threads = 1;
        settings.m_policy = m_policy;
        settings.m_drainLag = m_drainLag;
        settings.m_drainTimeout = m_drainTimeout;
        settings.m_seeds = m_seeds;
        auto daemon = Daemon::start(settings);
        EXPECT_TRUE(daemon) << toString(daemon.error());
        m_daemons.push_back(std::move(*daemon));
        m_seeds.push_back(toString(m_daemons.back()->udpAddress()));
        return *m_daemons.back();
    }

    /// Waits until the daemon serves with so many VMs in its view.
    void awaitView(Daemon &daemon, size_t vms, uint64_t revision = 1)
    {
        awaitEvent([&] {
            const auto view = daemon.node().m_view.get();
            return view && view->m_revision >= revision && view->m_peers.size() == vms;
        });
    }

    HttpResponse call(Daemon &daemon, const std::string &path, const std::string &body,
                      HttpHeaders headers = {})
    {
        headers.push_back({ "Authorization", "Bearer key" });
        std::promise<Result<HttpResponse>> answer;
        m_client.post([&] {
            HttpPool pool(m_client.context());
            HttpRequest request{ "POST", path, headers, body };
            answer.set_value(pool.call(daemon.httpAddress(), request, { Seconds(60) }, false));
        });
        const auto response = answer.get_future().get();
        if (response)
            return *response;
        return { 0, {}, toString(response.error()) };
    }

    HttpResponse complete(Daemon &daemon, uint64_t tokens, bool stream, HttpHeaders headers = {})
    {
        const std::string body =
            fmt::format(R"({{"model":"hint-forge","prompt":"a clue","max_tokens":{},"stream":{}}})",
                        tokens, stream);
        return call(daemon, "/v1/completions", body, std::move(headers));
    }

    RoutingPolicy m_policy = DaemonSettings().m_policy;
    Millis m_drainLag{ 0 };
    Millis m_drainTimeout{ 900'000 };
    std::vector<std::string> m_seeds;
    Hosted<PlatformStandin> m_platform;
    Hosted<EngineStandin> m_engine;
    Hosted<EngineStandin> m_otherEngine;
    Hosted<ServiceStandin> m_service;
    FiberThread m_client{ "client" };
    std::vector<std::unique_ptr<Daemon>> m_daemons;
};

} // namespace stackquay
