#include "control/control_state.h"

#include "core/json_fields.h"

#include "control/command_store.h"

namespace stackquay {

namespace {

constexpr Millis LoadTimeout{ 1'000 };
constexpr uint64_t MaxReportedRequests = 1'000'000;
constexpr Millis MaxReportAge{ 3'600'000 };
constexpr Millis VmListPeriod{ 5'000 };
constexpr Millis VmListFirstPeriod{ 500 };

StoreSettings storeSettings(std::vector<Address> platform)
{
    StoreSettings settings;
    settings.m_addresses = std::move(platform);
    return settings;
}

RandomEngine seededEngine()
{
    return RandomEngine(std::random_device{}());
}

ClaimRuntime claimRuntime(FiberThread &thread)
{
    ClaimRuntime runtime;
    runtime.m_sleep = [&thread](Duration duration) { return sleepFor(thread.context(), duration); };
    return runtime;
}

uint64_t wallMillis()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<Millis>(now).count());
}

/// Nothing if a field is missing, of another type or out of range: an engine that is taken for idle
/// by mistake attracts requests.
std::optional<ReportedLoad> parseLoad(const std::string &body)
{
    const Json json = parseJsonObject(body).value_or(Json());
    const auto running = uintField(json, "running");
    const auto waiting = uintField(json, "waiting");
    const auto backlog = uintField(json, "prefill_backlog_tokens");
    const auto memoryUsed = uintField(json, "memory_used");
    const auto memoryTotal = uintField(json, "memory_total");
    const auto age = uintField(json, "age_ms");
    if (!running || !waiting || !backlog || !memoryUsed || !memoryTotal || !age
        || *running > MaxReportedRequests || *waiting > MaxReportedRequests
        || *age > static_cast<uint64_t>(MaxReportAge.count()))
        return std::nullopt;
    ReportedLoad load;
    load.m_running = static_cast<uint32_t>(*running);
    load.m_waiting = static_cast<uint32_t>(*waiting);
    load.m_prefillBacklogTokens = *backlog;
    load.m_memoryUsed = *memoryUsed;
    load.m_memoryTotal = *memoryTotal;
    load.m_at = Clock::now() - Millis(*age);
    return load;
}

DrainingEndpoints leavingEndpoints(const MemberList &members)
{
    DrainingEndpoints leaving;
    for (const EndpointNotice &notice : members.m_notices) {
        if (notice.m_active && notice.m_kind == NoticeKind::Leaving)
            leaving.push_back(notice.m_endpoint);
    }
    return leaving;
}

} // namespace

ControlState::ControlState(Node &node, FiberThread &thread, const DaemonSettings &settings,
                           std::vector<Address> platform, std::vector<Address> seeds)
    : m_node(node)
    , m_thread(thread)
    , m_settings(settings)
    , m_seeds(std::move(seeds))
    , m_pool(thread.context())
    , m_peerServer(thread, {}, node.m_peerTraffic)
    , m_peerClient(thread.context(), {}, node.m_peerTraffic)
    , m_stewards(node, thread, m_peerServer)
    , m_store(thread.context(), storeSettings(std::move(platform)), seededEngine())
    , m_intents(m_store, thread.context(), {}, seededEngine())
    , m_claims(m_store, {}, claimRuntime(thread), node.m_settings.m_vm, seededEngine())
    , m_operations(operationsContext())
{
    bindStore(m_commands, m_intents, m_store);
    bindCommands();
    bindMetrics();
    node.m_claims = makeClaimGate(thread, m_claims);
}

ControlState::~ControlState() = default;

Status ControlState::listen(const Address &http)
{
    const auto peer = m_peerServer.listen(m_settings.m_peer);
    if (!peer)
        return tl::unexpected(peer.error());
    VmInfo self;
    self.m_id = m_node.m_settings.m_vm;
    self.m_incarnation = wallMillis();
    self.m_dataCentre = m_node.m_settings.m_dataCentre;
    self.m_udp = m_settings.m_udp;
    self.m_peer = *peer;
    self.m_http = http;
    m_membership =
        std::make_unique<Membership>(m_thread, self, MembershipOptions(), m_node.m_peerTraffic);
    m_membership->onChange([this](const MemberListPtr &list) { membersChanged(list); });
    m_membership->setSeeds(m_seeds);
    const auto udp = m_membership->start(m_settings.m_udp);
    if (!udp)
        return tl::unexpected(udp.error());
    m_udp = *udp;
    m_relay = std::make_unique<IntentRelay>(m_thread, *m_membership, m_peerServer, m_peerClient,
                                            relayHooks());
    m_members = m_membership->list();
    log(LogPart::Control)
        .info("Listening for peers. peer={} udp={}", toString(*peer), toString(*udp));
    return {};
}

void ControlState::start()
{
    m_relay->start();
    m_stewards.m_onDrainingChanged = [this](const EndpointId &endpoint, bool leaving) {
        m_membership->addNotice({ endpoint, NoticeKind::Leaving, leaving, wallMillis() });
    };
    m_stewards.start();
    const Status operations = m_operations.start();
    if (!operations)
        log(LogPart::Control).error("No reconciler. error={}", toString(operations.error()));
    spawnFiber([this] { followVmList(); });
    if (m_node.m_settings.m_policy == RoutingPolicy::LeastReported)
        spawnFiber([this] { pollLoads(); });
}

void ControlState::leave()
{
    m_operations.leave();
    m_membership->leave();
}

IntentRelayHooks ControlState::relayHooks()
{
    IntentRelayHooks hooks;
    hooks.m_load = [this]() -> Result<RevisionText> {
        return m_intents.load().map([](const IntentState &state) {
            return RevisionText{ state.m_revision, state.m_snapshot };
        });
    };
    hooks.m_watch = [this](uint64_t above, const IntentRelayHooks::RevisionCallback &taker) {
        m_intents.resume();
        m_intents.watch(above, [&taker](const IntentState &state) {
            taker(RevisionText{ state.m_revision, state.m_snapshot });
        });
    };
    hooks.m_stopWatch = [this] { m_intents.stop(); };
    hooks.m_apply = [this](const RevisionText &text) { return applyIntent(text); };
    return hooks;
}

OperationsContext ControlState::operationsContext()
{
    return { m_thread,
             m_store,
             m_pool,
             m_peerServer,
             m_peerClient,
             m_node.m_metrics,
             m_node.m_settings.m_vm,
             m_node.m_settings.m_dataCentre,
             m_settings.m_charts,
             [this] { return m_intent; },
             [this] { return m_members; } };
}

void ControlState::bindCommands()
{
    m_commands.m_intent = [this] { return m_intent; };
    m_commands.m_committed = [this](const IntentState &state) {
        const Status offered = m_relay->offer({ state.m_revision, state.m_snapshot });
        if (!offered)
            log(LogPart::Control)
                .error("Own change is unusable. error={}", toString(offered.error()));
    };
    m_commands.m_runtime = [this] { return runtime(); };
    m_commands.m_explain = [](const WhyStatement &) -> Result<Explanation> {
        return makeError(ErrorCode::NotFound, "nothing is recorded about it on this VM");
    };
    m_commands.m_sleep = [this](Duration duration) {
        return sleepFor(m_thread.context(), duration);
    };
    m_commands.m_now = [] { return Clock::now(); };
    m_operations.bind(m_commands);
}

void ControlState::bindMetrics()
{
    MetricsRegistry &registry = m_node.m_metrics;
    Counter &in = registry.counter("stackquay_control_bytes_in_total",
                                   "Payload bytes received from peers, probes and calls.");
    Counter &out = registry.counter("stackquay_control_bytes_out_total",
                                    "Payload bytes sent to peers, probes and calls.");
    Gauge &revision = registry.gauge("stackquay_intent_revision", "Revision in force.");
    Gauge &members =
        registry.gauge("stackquay_members", "VMs of the data centre that may hold roles.");
    Counter &reads = registry.counter("stackquay_store_reads_total", "Reads of the store.");
    Counter &writes = registry.counter("stackquay_store_writes_total", "Writes to the store.");
    registry.onCollect([&in, &out, &revision, &members, &reads, &writes, this] {
        const PeerTraffic &traffic = *m_node.m_peerTraffic;
        in.set(traffic.m_datagramBytesIn + traffic.m_rpcBytesIn);
        out.set(traffic.m_datagramBytesOut + traffic.m_rpcBytesOut);
        const RoutingViewPtr view = m_node.m_view.get();
        members.set(view ? static_cast<double>(view->m_peers.size()) : 0);
        revision.set(view ? static_cast<double>(view->m_revision) : 0);
        const StoreCounters counters = m_store.counters();
        reads.set(counters.m_gets + counters.m_lists + counters.m_watches + counters.m_vmLists);
        writes.set(counters.m_puts + counters.m_removes);
    });
}

RuntimeState ControlState::runtime() const
{
    RuntimeState state;
    for (const VmInfo &vm : m_members->m_vms) {
        VmRow row;
        row.m_id = vm.m_id;
        row.m_dataCentre = vm.m_dataCentre;
        row.m_state = vmStateName(vm.m_state);
        row.m_revision = vm.m_intentRevision;
        row.m_address = toString(vm.m_http);
        state.m_vms.push_back(std::move(row));
    }
    return state;
}

Status ControlState::applyIntent(const RevisionText &text)
{
    auto intent = decodeIntent(text.m_text, UnknownFields::Ignore);
    if (!intent)
        return tl::unexpected(intent.error());
    intent->m_revision = text.m_revision;
    m_intent = std::make_shared<const Intent>(std::move(*intent));
    log(LogPart::Control).info("Intent in force. revision={}", text.m_revision);
    publish();
    return {};
}

void ControlState::membersChanged(const MemberListPtr &list)
{
    const bool sameMembers = m_members && m_members->m_version == list->m_version;
    m_members = list;
    // The first list comes while the relay is still to be made.
    if (m_relay)
        m_relay->membersChanged(list);
    if (!sameMembers)
        publish();
}

void ControlState::publish()
{
    if (!m_intent)
        return;
    std::vector<PeerRoute> peers;
    for (const VmInfo &vm : m_members->roleHolders())
        peers.push_back({ vm.m_id, vm.m_peer });
    const auto view = buildRoutingView(m_intent, m_node.m_settings.m_dataCentre, std::move(peers),
                                       leavingEndpoints(*m_members));
    const TimePoint now = Clock::now();
    for (const Customer &customer : m_intent->m_customers) {
        const LimitSlice slice = equalLimitSlice(customer, *view, m_node.m_settings.m_vm);
        m_node.m_admission.setSlice(customer.m_id, slice, now);
    }
    m_node.m_view.publish(view);
    std::set<VmId> serving;
    for (const VmInfo &vm : m_members->m_vms)
        serving.insert(vm.m_id);
    m_stewards.update(*view, serving);
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
    } while (sleepFor(m_thread.context(), m_settings.m_loadPollInterval));
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

bool ControlState::watchesStore() const
{
    for (const VmInfo &vm : storeWatchers(*m_members)) {
        if (vm.m_id == m_node.m_settings.m_vm)
            return true;
    }
    return false;
}

void ControlState::followVmList()
{
    // Few VMs read the list for all; one that knows no other has to read it to find them.
    for (;;) {
        const bool alone = m_members->m_vms.size() <= 1;
        if (alone || watchesStore()) {
            const auto list = m_store.vms();
            if (list)
                takeVmList(*list);
        }
        if (!sleepFor(m_thread.context(), alone ? VmListFirstPeriod : VmListPeriod))
            return;
    }
}

void ControlState::takeVmList(const VmList &list)
{
    std::vector<Address> seeds = m_seeds;
    for (const ListedVm &vm : list.m_vms) {
        if (vm.m_dataCentre != m_node.m_settings.m_dataCentre)
            continue;
        const auto udp = parseAddress(vm.m_udp);
        if (udp)
            seeds.push_back(*udp);
        if (vm.m_leaving)
            m_membership->markLeaving(vm.m_id);
    }
    m_membership->setSeeds(std::move(seeds));
}

} // namespace stackquay
