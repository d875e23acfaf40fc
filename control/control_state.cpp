#include "control/control_state.h"

#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

constexpr Millis LoadTimeout{ 1'000 };

StoreSettings storeSettings(std::vector<Address> platform)
{
    StoreSettings settings;
    settings.m_addresses = std::move(platform);
    return settings;
}

std::optional<ReportedLoad> parseLoad(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    ReportedLoad load;
    load.m_running = json.value("running", 0u);
    load.m_waiting = json.value("waiting", 0u);
    load.m_prefillBacklogTokens = json.value("prefill_backlog_tokens", uint64_t(0));
    load.m_memoryUsed = json.value("memory_used", uint64_t(0));
    load.m_memoryTotal = json.value("memory_total", uint64_t(0));
    load.m_at = Clock::now() - Millis(json.value("age_ms", int64_t(0)));
    return load;
}

} // namespace

ControlState::ControlState(Node &node, FiberThread &thread, const DaemonSettings &settings,
                           std::vector<Address> platform)
    : m_node(node)
    , m_thread(thread)
    , m_loadPollInterval(settings.m_loadPollInterval)
    , m_pool(thread.context())
    , m_store(thread.context(), storeSettings(std::move(platform)),
              RandomEngine(std::random_device{}()))
    , m_intents(m_store, thread.context(), {}, RandomEngine(std::random_device{}()))
{ }

void ControlState::start()
{
    spawnFiber([this] {
        m_intents.watch(revision(), [this](const IntentState &state) { applyIntent(state); });
    });
    if (m_node.m_settings.m_policy == RoutingPolicy::LeastReported)
        spawnFiber([this] { pollLoads(); });
}

void ControlState::setPeers(std::vector<PeerRoute> peers)
{
    m_peers = std::move(peers);
    publish();
}

void ControlState::applyIntent(const IntentState &state)
{
    if (state.m_revision <= revision())
        return;
    auto intent = decodeIntent(state.m_snapshot, UnknownFields::Ignore);
    if (!intent) {
        log(LogPart::Control)
            .error("Intent is unusable. revision={} error={}", state.m_revision,
                   intent.error().m_message);
        return;
    }
    intent->m_revision = state.m_revision;
    m_intent = std::make_shared<const Intent>(std::move(*intent));
    log(LogPart::Control).info("Intent in force. revision={}", state.m_revision);
    publish();
}

void ControlState::publish()
{
    if (!m_intent)
        return;
    const auto view =
        buildRoutingView(m_intent, m_node.m_settings.m_dataCentre, m_peers, m_leaving);
    const TimePoint now = Clock::now();
    for (const Customer &customer : m_intent->m_customers) {
        const LimitSlice slice = equalSlice(customer, *view, m_node.m_settings.m_vm);
        m_node.m_admission.setSlice(customer.m_id, slice, now);
    }
    m_node.m_view.publish(view);
}

void ControlState::pollLoads()
{
    do {
        const RoutingViewPtr view = m_node.m_view.get();
        if (!view)
            continue;
        for (const auto &[id, route] : view->m_models) {
            for (const EndpointRoute &endpoint : route.m_endpoints)
                pollLoad(endpoint);
        }
    } while (sleepFor(m_thread.context(), m_loadPollInterval));
}

void ControlState::pollLoad(const EndpointRoute &endpoint)
{
    spawnFiber([this, endpoint] {
        const HttpRequest request{ "GET", "/load", {}, "" };
        const auto response = m_pool.call(endpoint.m_address, request, { LoadTimeout });
        if (!response || response->m_status != 200)
            return;
        const auto load = parseLoad(response->m_body);
        if (load)
            m_node.m_endpoints.setReported(endpoint.m_id, *load);
    });
}

} // namespace stackquay
