#include "relay/relay_daemon.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// The load balancer removes a VM after two missed checks, one a second; the rest is for the
/// requests that it sent last.
constexpr Millis BalancerDetectionTime{ 2'300 };
/// Open connections are served for at least this time: clients that were told to close have closed,
/// and later requests are refused rather than cut.
constexpr Millis DrainLinger{ 3'000 };
/// The part of the grace period that is left when the daemon aborts requests: a busy VM with a
/// quarter of a core needs some of it to answer them and to exit.
constexpr Millis GraceReserve{ 700 };
/// For the answers to aborted requests, and for closing connections.
constexpr Millis ShutdownTime{ 300 };
constexpr Millis DrainPoll{ 20 };
/// Limit for the removal of this VM's object, within the grace period: a call that the store
/// answers at all takes no longer.
constexpr Millis MaxRemovalTime{ 1'200 };
/// Successful store calls take a few hundred milliseconds, even if the store is slow.
constexpr Duration StoreTryTimeout = Millis(1'200);
constexpr Duration StoreCallTimeout = Millis(2'500);
/// If a reused connection is silent for half of a try's timeout, the other half is left for a new
/// connection.
constexpr Duration StoreReplaceAfter = StoreTryTimeout / 2;
constexpr double StoreReadsPerSecond = 20;
constexpr double StoreWritesPerSecond = 5;
/// The follower has its own backoff; the outage mode of the store client would notice a recovery
/// later.
constexpr unsigned NoOutageMode = 1'000'000;
constexpr Millis StoreLogPeriod{ 5'000 };
constexpr const char *MetricsPath = "/metrics";
constexpr size_t MaxReadyConnections = 64;
constexpr size_t MaxReadyBodyBytes = 4 * 1024;
constexpr Millis ReadyBodyTimeout{ 1'000 };
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;

StoreSettings storeSettings(const RelaySettings &settings)
{
    StoreSettings store;
    store.m_addresses = { settings.m_store };
    store.m_tryTimeout = StoreTryTimeout;
    store.m_callTimeout = StoreCallTimeout;
    store.m_readsPerSecond = StoreReadsPerSecond;
    store.m_writesPerSecond = StoreWritesPerSecond;
    store.m_outageFailureThreshold = NoOutageMode;
    store.m_retry = false;
    store.m_silence = { silenceTimeout(settings.m_bounds), true };
    store.m_replaceAfter = StoreReplaceAfter;
    return store;
}

/// Of the address for readiness checks and metrics, whose requests have no body.
HttpServerLimits readyLimits()
{
    HttpServerLimits server;
    server.m_bodyBytes = MaxReadyBodyBytes;
    server.m_bodyTimeout = ReadyBodyTimeout;
    server.m_connections = MaxReadyConnections;
    return server;
}

/// The VMs of this VM's cell. Those of a fleet are spread evenly over its cells.
LimitGroup limitGroup(const VmId &self, const FleetView &fleet)
{
    const uint32_t cells = fleet.m_cell.m_cells;
    return { self, fleet.m_peers, (fleet.m_vms + cells - 1) / cells, fleet.m_peersKnown,
             fleet.m_cell };
}

uint32_t ageMs(TimePoint provedAt, TimePoint now)
{
    return static_cast<uint32_t>(std::chrono::duration_cast<Millis>(now - provedAt).count());
}

} // namespace

RelayDaemon::RelayDaemon(const RelaySettings &settings, const RelayAdapter &adapter)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_clientMemory(clientMemory(settings))
    , m_connections(m_traffic, m_clientMemory)
{
    m_node = std::make_unique<RelayNode>(m_traffic, settings, adapter.m_requests);
    const auto seed = RandomEngine(std::random_device{}());
    m_store = std::make_unique<KindStore>(m_control.context(), storeSettings(settings), seed,
                                          adapter.m_objects);
    m_follower =
        std::make_unique<StoreFollower>(m_control, *m_store, adapter.m_source, followerHooks(),
                                        settings.m_bounds.m_evacuationTime > Millis(0));
    m_fleet = std::make_unique<FleetLink>(m_control, settings, m_node->m_origin, *m_store,
                                          adapter.m_source, fleetHooks());
    startRecords();
    m_store->onEraIncrease([this] { noteEra(m_store->era()); });
    m_node->m_isolationChanged = [this] {
        m_control.post([this] { m_fleet->sendHeartbeatsNow(); });
    };
    RelayView view;
    view.m_bounds = settings.m_bounds;
    m_node->m_view.store(std::make_shared<const RelayView>(std::move(view)));
}

void RelayDaemon::startRecords()
{
    m_quarantineRecord = std::make_unique<QuarantineRecord>(
        m_control, *m_store, quarantineFormat(m_adapter.m_source),
        [this](const std::vector<SuspectReport> &quarantined) { addQuarantined(quarantined); });
    m_node->m_quarantined = [this](const std::vector<SuspectReport> &quarantined, bool observed) {
        m_control.post([this, quarantined, observed] {
            m_quarantined = quarantined;
            if (observed)
                m_quarantineRecord->save(quarantined);
        });
    };
    m_node->m_quarantineCleared = [this](const SuspectReport &cleared,
                                         const std::vector<SuspectReport> &remaining,
                                         bool observed) {
        m_control.post([this, cleared, remaining, observed] {
            m_quarantined = remaining;
            if (observed)
                m_quarantineRecord->remove({ cleared });
        });
    };
    m_partRecord = std::make_unique<PartRecord>(
        m_control, *m_store, partFormat(m_adapter.m_source),
        [this](const std::vector<PartReport> &quarantined) { addQuarantinedParts(quarantined); });
    m_node->m_partsChanged = [this](const std::vector<PartReport> &quarantined, bool store) {
        m_control.post([this, quarantined, store] { noteParts(quarantined, store); });
    };
    m_node->m_partsReleased = [this](const std::vector<PartReport> &released) {
        m_control.post([this, released] { m_partRecord->remove(released); });
    };
}

RelayDaemon::~RelayDaemon()
{
    m_node->m_stopping = true;
    m_traffic.stop();
    m_control.stop();
    m_traffic.join();
    m_control.join();
}

Result<std::unique_ptr<RelayDaemon>> RelayDaemon::start(const RelaySettings &settings,
                                                        const RelayAdapter &adapter)
{
    std::unique_ptr<RelayDaemon> daemon(new RelayDaemon(settings, adapter));
    const Status listening = daemon->listen();
    if (!listening)
        return tl::unexpected(listening.error());
    return daemon;
}

HttpServerLimits RelayDaemon::serverLimits(const ClientLimits &limits) const
{
    HttpServerLimits server;
    server.m_headerBytes = limits.m_headerBytes;
    server.m_bodyBytes = limits.m_bodyBytes;
    server.m_headerTimeout = limits.m_headerTimeout;
    server.m_idleTimeout = limits.m_idleTimeout;
    server.m_connections = m_settings.m_connections;
    // Clients are far away, and no request waits for a new connection of theirs, so two probes may
    // be lost.
    server.m_silence = { m_settings.m_bounds.m_recoveryTime, true };
    server.m_receiveBytes = ClientReceiveBytes;
    server.m_usefulTime = [readHead = m_adapter.m_requests.m_readRequestHead](
                              const HttpRequest &head) -> std::optional<Duration> {
        return readHead(head).m_deadline;
    };
    return server;
}

Status RelayDaemon::listen()
{
    const auto serverFor = [this](RequestSource source) {
        return std::make_unique<HttpServer>(
            m_traffic,
            [this, source](HttpExchange &exchange) { RelayRun(*m_node, exchange, source).run(); },
            serverLimits({}), &m_connections);
    };
    m_clients = serverFor(RequestSource::Client);
    m_forward = serverFor(RequestSource::Vm);
    m_ready = std::make_unique<HttpServer>(
        m_traffic, [this](HttpExchange &exchange) { handleReadyRequest(exchange); }, readyLimits(),
        &m_connections);
    const auto clients = m_clients->listen(m_settings.m_clients);
    if (!clients)
        return tl::unexpected(clients.error());
    const auto forward = m_forward->listen(m_settings.m_forward);
    if (!forward)
        return tl::unexpected(forward.error());
    const auto ready = m_ready->listen(m_settings.m_ready);
    if (!ready)
        return tl::unexpected(ready.error());
    m_clientsAddress = *clients;
    m_readyAddress = *ready;
    const auto loads = m_node->m_loads.listen(m_settings.m_loads);
    if (!loads)
        return tl::unexpected(loads.error());
    const Status fleet = m_fleet->listen(*loads, *forward);
    if (!fleet)
        return fleet;
    m_control.start();
    m_control.post([this] {
        m_follower->start();
        m_fleet->start();
        spawnFiber([this] { logStoreCalls(); });
    });
    exportClientMemory(m_node->m_registry, m_clientMemory, { &m_connections });
    m_loadMonitor =
        std::make_unique<VmLoadMonitor>(m_traffic, *m_clients, m_connections, m_node->m_metrics);
    m_traffic.post([this] { m_loadMonitor->start(); });
    m_traffic.start();
    DecisionLine("main", "started")
        .text("vm", m_settings.m_vm.str())
        .text("data_centre", m_settings.m_dataCentre.str())
        .text("clients", toString(m_clientsAddress))
        .text("version", STACKQUAY_VERSION)
        .write();
    return {};
}

void RelayDaemon::logStoreCalls()
{
    StoreCounters logged;
    while (sleepFor(m_control.context(), StoreLogPeriod)) {
        const StoreCounters now = m_store->counters();
        const auto callsOf = [](const StoreCounters &counters) {
            return counters.m_gets + counters.m_puts + counters.m_removes + counters.m_lists
                   + counters.m_watches;
        };
        if (callsOf(now) == callsOf(logged))
            continue;
        logged = now;
        DecisionLine("store", "calls to the store")
            .number("gets", static_cast<int64_t>(now.m_gets))
            .number("puts", static_cast<int64_t>(now.m_puts))
            .number("removes", static_cast<int64_t>(now.m_removes))
            .number("lists", static_cast<int64_t>(now.m_lists))
            .number("watches", static_cast<int64_t>(now.m_watches))
            .number("failures", static_cast<int64_t>(now.m_failures))
            .number("throttled", static_cast<int64_t>(now.m_throttled))
            .flag("watches_store", m_fleet->watchesStore())
            .write();
    }
}

void RelayDaemon::updateView(const std::function<void(RelayView &)> &change)
{
    RelayView view = *m_node->m_view.load();
    const bool before = view.complete();
    change(view);
    if (!before && view.complete())
        DecisionLine("main", "ready")
            .number("version", static_cast<int64_t>(view.m_routes->m_version))
            .write();
    m_node->m_view.store(std::make_shared<const RelayView>(std::move(view)));
}

FollowerHooks RelayDaemon::followerHooks()
{
    FollowerHooks hooks;
    hooks.m_onUnreadable = [this] { m_node->m_metrics.m_unreadableEntries.add(); };
    hooks.m_onRoutes = [this](const RouteTablePtr &routes, const std::string &spec) {
        packRoutes(spec);
        updateView([&](RelayView &view) {
            view.m_routes = routes;
            view.m_proof = proofFor(routes->m_version, m_proof);
            rebuildPools(view);
            rebuildColdShares(view, m_settings.m_vm);
        });
        m_clients->setLimits(serverLimits(routes->m_limits));
        m_forward->setLimits(serverLimits(routes->m_limits));
        announceChange();
    };
    // Also of a VM that watches the store for no other: it read because they learned nothing.
    hooks.m_onProof = [this](const FreshnessProof &proof) {
        applyProof(proof);
        m_fleet->sendHeartbeatsNow();
    };
    hooks.m_onDirectoryProof = [this] { m_fleet->sendHeartbeatsNow(); };
    hooks.m_onDirectory = [this](const EndpointDirectoryPtr &directory) {
        const EndpointDirectoryPtr before = m_node->m_view.load()->m_directory;
        updateView([&](RelayView &view) {
            view.m_directory = directory;
            rebuildPools(view);
            rebuildColdShares(view, m_settings.m_vm);
        });
        recordChanges(m_history, before ? *before : EndpointDirectory{}, *directory);
        if (before)
            handleDepartures(*before, *directory);
        announceChange();
    };
    hooks.m_onEvacuations = [this](const Evacuations &evacuations) {
        updateView([&](RelayView &view) {
            view.m_evacuations = evacuations;
            rebuildPools(view);
        });
        announceChange();
    };
    hooks.m_bestProof = [this] { return m_proof; };
    hooks.m_knowledgeBound = [this] { return knowledgeBound(m_node->m_view.load()->m_bounds); };
    hooks.m_readTurn = [this] { return m_fleet->readTurn(); };
    hooks.m_watchesStore = [this] { return m_fleet->watchesStore(); };
    // The kernel does not count suspended time for a timer that is already set. Setting a new one
    // fires all timers that are due by now, so that expired deadlines take effect.
    hooks.m_onSuspension = [this] {
        m_traffic.post([this] { std::ignore = sleepFor(m_traffic.context(), Duration::zero()); });
    };
    return hooks;
}

/// Peers that do not watch the store receive changes only in this way.
void RelayDaemon::handleDepartures(const EndpointDirectory &before, const EndpointDirectory &now)
{
    const auto restarted = restartedSince(before, now);
    if (!restarted.empty())
        m_traffic.post([this, restarted] { m_node->forgetRestarted(restarted); });
    const auto departed = departedSince(before, now);
    if (!departed.empty())
        m_traffic.post([this, departed] { m_node->m_absence.noteDeparted(departed); });
}

void RelayDaemon::announceChange()
{
    if (m_fleet->watchesStore())
        m_fleet->sendHeartbeatsNow();
}

void RelayDaemon::packRoutes(const std::string &spec)
{
    auto packed = packText(spec);
    if (!packed)
        DecisionLine("main", "routes not packed for peers")
            .text("error", packed.error().m_message)
            .write();
    m_packedRoutes = packed.value_or("");
}

void RelayDaemon::applyProof(const FreshnessProof &proof)
{
    const FreshnessProof joined = mergeProofs(m_proof, proof);
    if (joined.m_version == m_proof.m_version && joined.m_provedAt == m_proof.m_provedAt)
        return;
    if (m_proof.known())
        m_follower->noteProofGap(joined.m_provedAt - m_proof.m_provedAt);
    m_proof = joined;
    const RelayViewPtr view = m_node->m_view.load();
    if (!view->m_routes)
        return;
    // If the routes are older than the proof, they keep the proof that they had.
    const FreshnessProof holds = proofFor(view->m_routes->m_version, joined);
    if (holds.known())
        updateView([&](RelayView &changed) { changed.m_proof = holds; });
}

StateSummary RelayDaemon::ownSummary() const
{
    const RelayViewPtr view = m_node->m_view.load();
    const TimePoint now = Clock::now();
    StateSummary own;
    own.m_routesVersion = view->m_routes ? view->m_routes->m_version : 0;
    own.m_proved = view->m_proof.known();
    own.m_proofAgeMs = own.m_proved ? ageMs(view->m_proof.m_provedAt, now) : 0;
    own.m_proofEra = view->m_proof.m_era;
    own.m_era = m_era;
    if (view->m_directory) {
        own.m_directory = view->m_directory->m_position;
        own.m_directoryConfirmed = view->m_directory->isConfirmed();
        own.m_lastConfirmed = view->m_directory->m_confirmedPosition;
    }
    own.m_evacuations = view->m_evacuations.m_position;
    own.m_reachesStore = m_follower->reachesStore();
    const auto directoryProvedAt = m_follower->directoryProvedAt();
    own.m_directoryProved = directoryProvedAt.has_value();
    own.m_directoryAgeMs = directoryProvedAt ? ageMs(*directoryProvedAt, now) : 0;
    return own;
}

/// A higher era means that the store was restored from a backup, so the objects written by this
/// system have to be written again. The era comes from the store or from a peer.
void RelayDaemon::noteEra(uint64_t era)
{
    const uint64_t before = m_era;
    m_era = std::max(m_era, era);
    if (before == 0 || m_era == before)
        return;
    m_fleet->rewriteObject();
    m_follower->noteStoreRestored();
    if (!m_fleet->watchesStore())
        return;
    m_quarantineRecord->save(m_quarantined);
    m_partRecord->save(m_quarantinedParts);
}

void RelayDaemon::addQuarantined(const std::vector<SuspectReport> &quarantined)
{
    if (!quarantined.empty())
        m_traffic.post([this, quarantined] { m_node->m_suspects.merge(quarantined); });
}

void RelayDaemon::addQuarantinedParts(const std::vector<PartReport> &quarantined)
{
    if (!quarantined.empty())
        m_traffic.post([this, quarantined] { m_node->m_parts.merge(quarantined); });
}

/// Other data centres may have found more than their messages told.
void RelayDaemon::noteParts(const std::vector<PartReport> &quarantined, bool store)
{
    m_quarantinedParts = quarantined;
    if (store)
        m_partRecord->save(quarantined);
    else if (m_fleet->watchesStore())
        m_partRecord->refresh();
}

StateSnapshot RelayDaemon::answerStateRequest(const StateRequest &request) const
{
    const RelayViewPtr view = m_node->m_view.load();
    StateSnapshot state;
    state.m_summary = ownSummary();
    state.m_quarantined = m_quarantined;
    state.m_quarantinedParts = m_quarantinedParts;
    if (state.m_summary.m_routesVersion > request.m_routesVersion)
        state.m_routesSpec = m_packedRoutes;
    if (state.m_summary.m_evacuations > request.m_evacuations)
        state.m_evacuated.assign(view->m_evacuations.m_dataCentres.begin(),
                                 view->m_evacuations.m_dataCentres.end());
    const bool later = state.m_summary.m_directory > request.m_directory;
    if (!view->m_directory || !(later || request.m_inDoubt))
        return state;
    state.m_hasEndpoints = true;
    std::optional<DirectoryChanges> changes;
    if (!request.m_inDoubt && view->m_directory->isConfirmed())
        changes = changesSince(m_history, *view->m_directory, request.m_directory);
    if (changes) {
        state.m_changesFrom = changes->m_from;
        state.m_endpoints = std::move(changes->m_changed);
        state.m_removed = std::move(changes->m_removed);
        state.m_digest = m_history.m_digest;
    } else {
        for (const auto &[id, endpoint] : view->m_directory->m_endpoints)
            state.m_endpoints.push_back(endpoint);
    }
    const auto &doubtful = view->m_directory->m_unconfirmed;
    state.m_unconfirmed.assign(doubtful.begin(), doubtful.end());
    const auto &unreadable = view->m_directory->m_unreadable;
    state.m_unreadable.assign(unreadable.begin(), unreadable.end());
    state.m_complete = view->m_directory->m_complete;
    const TimePoint now = Clock::now();
    for (const auto &[id, until] : view->m_directory->m_coldUntil) {
        const auto left = std::chrono::duration_cast<Millis>(until - now);
        if (left > Millis(0))
            state.m_cold.emplace_back(id, static_cast<uint32_t>(left.count()));
    }
    return state;
}

FleetHooks RelayDaemon::fleetHooks()
{
    FleetHooks hooks;
    hooks.m_ownSummary = [this] { return ownSummary(); };
    hooks.m_answerRequest = [this](const StateRequest &request) {
        return answerStateRequest(request);
    };
    hooks.m_onState = [this](const StateSnapshot &state, Duration callTime) {
        return applyPeerState(state, callTime);
    };
    hooks.m_isIsolated = [this] { return m_node->m_isolated.load(); };
    hooks.m_onProof = [this](const FreshnessProof &proof) { applyProof(proof); };
    hooks.m_onDirectoryProof = [this](const DirectoryProof &proof) {
        m_follower->mergePeerDirectoryProof(proof);
    };
    hooks.m_era = [this](uint64_t era) { noteEra(era); };
    hooks.m_onProcessGone = [this](uint64_t origin) {
        m_traffic.post([this, origin] { m_node->forgetProcess(origin); });
    };
    hooks.m_onFleetChange = [this](const FleetView &fleet) {
        updateView([this, &fleet](RelayView &view) {
            view.m_vms = fleet.m_vms;
            view.m_peers = fleet.m_peers;
            view.m_peersKnown = fleet.m_peersKnown;
            rebuildColdShares(view, m_settings.m_vm);
            if (view.m_cell == fleet.m_cell)
                return;
            view.m_cell = fleet.m_cell;
            rebuildPools(view);
        });
        if (fleet.m_watchesStore) {
            m_quarantineRecord->load();
            m_partRecord->load();
        }
        m_traffic.post([this, fleet] {
            m_node->m_loads.setPeers(fleet.m_loads);
            m_node->m_loads.setContacts(fleet.m_contacts);
            m_node->m_forwardPeers = fleet.m_forwardPeers;
            m_node->setRetryHolders(fleet.m_retryHolders);
            m_node->m_limiter.setGroup(limitGroup(m_settings.m_vm, fleet));
            m_node->m_watchesStore = fleet.m_watchesStore;
        });
    };
    hooks.m_sendLoads = [this](const Address &loads) {
        m_traffic.post([this, loads] { m_node->sendState(loads); });
    };
    return hooks;
}

std::optional<EndpointMap> RelayDaemon::peerEndpoints(const StateSnapshot &state) const
{
    if (!state.m_changesFrom.known()) {
        EndpointMap all;
        for (const EndpointRecord &endpoint : state.m_endpoints)
            all[endpoint.m_id] = endpoint;
        return all;
    }
    const EndpointDirectoryPtr own = m_node->m_view.load()->m_directory;
    if (!own)
        return std::nullopt;
    auto endpoints =
        applyChanges(*own, { state.m_changesFrom, state.m_endpoints, state.m_removed });
    if (endpoints && digestOf(*endpoints) != state.m_digest) {
        DecisionLine("peers", "directory differs from a peer's")
            .number("revision", static_cast<int64_t>(state.m_summary.m_directory.m_revision))
            .number("endpoints", static_cast<int64_t>(endpoints->size()))
            .write();
        return std::nullopt;
    }
    return endpoints;
}

bool RelayDaemon::applyPeerState(const StateSnapshot &state, Duration callTime)
{
    // Before the routes, because they make this VM ready, and because their proof may be newer than
    // this VM's own.
    addQuarantined(state.m_quarantined);
    addQuarantinedParts(state.m_quarantinedParts);
    const StateSummary &summary = state.m_summary;
    if (summary.m_proved)
        applyProof(routesProofOf(summary, callTime, Clock::now()));
    if (!state.m_routesSpec.empty()) {
        const auto spec = unpackText(state.m_routesSpec);
        if (spec)
            m_follower->mergePeerRoutes(*spec);
        else
            DecisionLine("peers", "routes of a peer not understood")
                .text("error", spec.error().m_message)
                .write();
    }
    Evacuations evacuations{ summary.m_evacuations, {} };
    evacuations.m_dataCentres.insert(state.m_evacuated.begin(), state.m_evacuated.end());
    m_follower->mergePeerEvacuations(evacuations);
    if (state.m_hasEndpoints && !applyPeerEndpoints(state))
        return false;
    if (summary.m_directoryProved)
        m_follower->mergePeerDirectoryProof(directoryProofOf(summary, callTime, Clock::now()));
    return true;
}

bool RelayDaemon::applyPeerEndpoints(const StateSnapshot &state)
{
    auto endpoints = peerEndpoints(state);
    if (!endpoints)
        return false;
    EndpointDirectory directory;
    directory.m_endpoints = std::move(*endpoints);
    directory.m_position = state.m_summary.m_directory;
    directory.m_confirmedPosition = state.m_summary.m_lastConfirmed;
    directory.m_complete = state.m_complete;
    directory.m_unconfirmed.insert(state.m_unconfirmed.begin(), state.m_unconfirmed.end());
    directory.m_unreadable.insert(state.m_unreadable.begin(), state.m_unreadable.end());
    const TimePoint now = Clock::now();
    for (const auto &[id, leftMs] : state.m_cold)
        directory.m_coldUntil[id] = now + Millis(leftMs);
    m_follower->mergePeerDirectory(directory);
    return true;
}

void RelayDaemon::handleReadyRequest(HttpExchange &exchange)
{
    if (exchange.request().path() == MetricsPath) {
        exchange.respond(
            { StatusOk, { { "Content-Type", "text/plain" } }, m_node->m_registry.exposition() });
        return;
    }
    const RelayViewPtr view = m_node->m_view.load();
    const bool ready = !isDraining(view->m_drain) && view->complete() && m_clients->accepting();
    exchange.respond({ ready ? StatusOk : StatusUnavailable, {}, "" });
}

void RelayDaemon::reload(const RelaySettings &settings)
{
    m_control.post([this, bounds = settings.m_bounds] {
        updateView([&bounds](RelayView &view) { view.m_bounds = bounds; });
    });
}

void RelayDaemon::drain()
{
    if (!m_drainBegun.exchange(true))
        m_control.post([this, begun = Clock::now()] { drainFiber(begun); });
}

void RelayDaemon::drainFiber(TimePoint begun)
{
    const DrainPlan plan{ begun, BalancerDetectionTime, DrainLinger,
                          m_node->m_view.load()->m_bounds.m_grace - GraceReserve };
    updateView([&plan](RelayView &view) { view.m_drain = plan; });
    DecisionLine("main", "draining").number("requests", int64_t(activeRequests())).write();
    m_clients->closeAfterAnswers();
    m_forward->closeAfterAnswers();
    m_fleet->announceDrain();
    while (!shouldExit(plan, Clock::now(), activeRequests())
           && sleepFor(m_control.context(), DrainPoll)) { }
    m_fleet->removeObject();
    const TimePoint now = Clock::now();
    const TimePoint goneBy =
        std::clamp(plan.m_drainStartedAt + plan.m_grace, now + ShutdownTime, now + MaxRemovalTime);
    abortRequests();
    m_fleet->announceExit(goneBy);
    DecisionLine("main", "drained").number("requests", int64_t(activeRequests())).write();
    m_drained.set_value();
}

/// Aborts the requests still in progress, so that each client receives the outcome before the
/// threads stop: the stop interrupts all waits, which a request could not distinguish from an
/// endpoint failure.
void RelayDaemon::abortRequests()
{
    const TimePoint until = Clock::now() + ShutdownTime;
    m_node->m_stopping = true;
    for (HttpServer *server : { m_clients.get(), m_forward.get() }) {
        server->drain();
        server->refuseUnread();
    }
    m_traffic.post([this] {
        for (RelayRun *run : m_node->m_runs)
            run->abortForShutdown();
    });
    while (m_clients->connections() + m_forward->connections() > 0 && Clock::now() < until
           && sleepFor(m_control.context(), DrainPoll)) { }
}

size_t RelayDaemon::activeRequests() const
{
    return m_clients->activeRequests() + m_forward->activeRequests();
}

void RelayDaemon::wait()
{
    m_drained.get_future().wait();
}

} // namespace stackquay
