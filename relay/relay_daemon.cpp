#include "relay/relay_daemon.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// The balancer takes a VM out after two misses at one a second (the users' pages); what it sent
/// last needs its way.
constexpr Millis BalancerNotice{ 2'300 };
/// Open connections are answered at least so long: clients that were told to leave have left, and
/// one that sends later is refused at once, not cut.
constexpr Millis DrainLinger{ 3'000 };
/// Left of the grace when the daemon gives up what is in progress: a busy VM of a quarter of a
/// core needs part of it to answer and to end.
constexpr Millis GraceReserve{ 700 };
/// For the answers to what is given up, and for the ends of open connections.
constexpr Millis EndingTime{ 300 };
constexpr Millis DrainPoll{ 20 };
/// For the store to remove this VM's object, if the grace leaves it: a call that it answers at all
/// takes no longer.
constexpr Millis MostRemoval{ 1'200 };
/// Calls that the store answers at all come within some hundred ms, also when it is slow.
constexpr Duration StoreTryTimeout = Millis(1'200);
constexpr Duration StoreCallTimeout = Millis(2'500);
/// A kept connection to the store that is silent for half a try's time leaves the other half for a
/// new one.
constexpr Duration StoreReplaceAfter = StoreTryTimeout / 2;
constexpr double StoreReadsPerSecond = 20;
constexpr double StoreWritesPerSecond = 5;
/// The follower's own loops back off; the store's outage mode would notice a return later.
constexpr unsigned NoOutageMode = 1'000'000;
constexpr const char *MetricsPath = "/metrics";
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
    store.m_outageAfter = NoOutageMode;
    store.m_retry = false;
    store.m_silence = { silenceBound(settings.m_bounds), true };
    store.m_replaceAfter = StoreReplaceAfter;
    return store;
}

HttpServerLimits serverLimits(const ClientLimits &limits, const RelaySettings &settings)
{
    HttpServerLimits server;
    server.m_headerBytes = limits.m_headerBytes;
    server.m_bodyBytes = limits.m_bodyBytes;
    server.m_headerTimeout = limits.m_headerTimeout;
    server.m_idleTimeout = limits.m_idleTimeout;
    server.m_connections = settings.m_connections;
    // Clients are far, and nothing waits for a new connection of theirs: two probes may be lost.
    server.m_silence = { settings.m_bounds.m_contact, true };
    return server;
}

uint32_t ageMs(const FreshnessProof &proof)
{
    return static_cast<uint32_t>(
        std::chrono::duration_cast<Millis>(Clock::now() - proof.m_provedAt).count());
}

} // namespace

RelayDaemon::RelayDaemon(const RelaySettings &settings, const RelayAdapter &adapter)
    : m_settings(settings)
    , m_adapter(adapter)
{
    m_node = std::make_unique<RelayNode>(m_traffic, settings, adapter.m_requests);
    const auto seed = RandomEngine(std::random_device{}());
    m_store = std::make_unique<KindStore>(m_control.context(), storeSettings(settings), seed,
                                          adapter.m_objects);
    m_follower =
        std::make_unique<StoreFollower>(m_control, *m_store, adapter.m_source, followerHooks());
    m_fleet = std::make_unique<FleetLink>(m_control, settings, m_node->m_origin, *m_store,
                                          adapter.m_source, fleetHooks());
    m_record = std::make_unique<CondemnedRecord>(
        m_control, *m_store, adapter.m_source,
        [this](const std::vector<SuspectNews> &condemned) { takeCondemned(condemned); });
    m_store->onRise([this] { noteEra(m_store->era()); });
    m_node->m_condemned = [this](const std::vector<SuspectNews> &condemned, bool seen) {
        m_control.post([this, condemned, seen] {
            m_condemned = condemned;
            if (seen)
                m_record->keep(condemned);
        });
    };
    RelayView view;
    view.m_bounds = settings.m_bounds;
    m_node->m_view.store(std::make_shared<const RelayView>(std::move(view)));
}

RelayDaemon::~RelayDaemon()
{
    m_node->m_ending = true;
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

Status RelayDaemon::listen()
{
    m_clients = std::make_unique<HttpServer>(
        m_traffic, [this](HttpExchange &exchange) { RelayRun(*m_node, exchange).run(); },
        serverLimits({}, m_settings));
    m_ready = std::make_unique<HttpServer>(
        m_traffic, [this](HttpExchange &exchange) { answerReady(exchange); });
    const auto clients = m_clients->listen(m_settings.m_clients);
    if (!clients)
        return tl::unexpected(clients.error());
    const auto ready = m_ready->listen(m_settings.m_ready);
    if (!ready)
        return tl::unexpected(ready.error());
    m_clientsAddress = *clients;
    m_readyAddress = *ready;
    const auto loads = m_node->m_loads.listen(m_settings.m_loads);
    if (!loads)
        return tl::unexpected(loads.error());
    const Status fleet = m_fleet->listen(*loads);
    if (!fleet)
        return fleet;
    m_control.start();
    m_control.post([this] {
        m_follower->start();
        m_fleet->start();
    });
    m_traffic.start();
    DecisionLine("main", "started")
        .text("vm", m_settings.m_vm.str())
        .text("data_centre", m_settings.m_dataCentre.str())
        .text("clients", toString(m_clientsAddress))
        .text("version", STACKQUAY_VERSION)
        .write();
    return {};
}

void RelayDaemon::changeView(const std::function<void(RelayView &)> &change)
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
    hooks.m_routes = [this](const RouteTablePtr &routes, const std::string &spec) {
        packRoutes(spec);
        changeView([&](RelayView &view) {
            view.m_routes = routes;
            view.m_proof = proofFor(routes->m_version, m_proof);
            renewPools(view);
        });
        m_clients->setLimits(serverLimits(routes->m_limits, m_settings));
        tellNews();
    };
    hooks.m_proof = [this](const FreshnessProof &proof) {
        takeProof(proof);
        tellNews();
    };
    hooks.m_directory = [this](const EndpointDirectoryPtr &directory) {
        const EndpointDirectoryPtr before = m_node->m_view.load()->m_directory;
        if (before) {
            const auto restarted = restartedSince(*before, *directory);
            if (!restarted.empty())
                m_traffic.post([this, restarted] { m_node->forgetProcesses(restarted); });
        }
        changeView([&](RelayView &view) {
            view.m_directory = directory;
            renewPools(view);
        });
        tellNews();
    };
    hooks.m_bestProof = [this] { return m_proof; };
    hooks.m_onDuty = [this] { return m_fleet->onDuty(); };
    // The kernel counts no suspended time for a timer that is set: any new one lets all that are
    // due by now fire, so that deadlines end what waits past them.
    hooks.m_stoodStill = [this] {
        m_traffic.post([this] { std::ignore = sleepFor(m_traffic.context(), Duration::zero()); });
    };
    return hooks;
}

/// Peers without duty hear of the store only in this way.
void RelayDaemon::tellNews()
{
    if (m_fleet->onDuty())
        m_fleet->beatNow();
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

void RelayDaemon::takeProof(const FreshnessProof &proof)
{
    const FreshnessProof joined = joinProofs(m_proof, proof);
    if (joined.m_version == m_proof.m_version && joined.m_provedAt == m_proof.m_provedAt)
        return;
    if (m_proof.known())
        m_follower->noteProofGap(joined.m_provedAt - m_proof.m_provedAt);
    m_proof = joined;
    const RelayViewPtr view = m_node->m_view.load();
    if (!view->m_routes)
        return;
    // Routes that are older than the proof keep the proof that they had.
    const FreshnessProof holds = proofFor(view->m_routes->m_version, joined);
    if (holds.known())
        changeView([&](RelayView &changed) { changed.m_proof = holds; });
}

BeliefSummary RelayDaemon::ownBeliefs() const
{
    const RelayViewPtr view = m_node->m_view.load();
    BeliefSummary own;
    own.m_routesVersion = view->m_routes ? view->m_routes->m_version : 0;
    own.m_proved = view->m_proof.known();
    own.m_proofAgeMs = own.m_proved ? ageMs(view->m_proof) : 0;
    own.m_proofEra = view->m_proof.m_era;
    own.m_era = m_era;
    if (view->m_directory) {
        own.m_directory = view->m_directory->m_position;
        own.m_directorySure = view->m_directory->sure();
        own.m_sure = view->m_directory->m_surePosition;
    }
    own.m_reachesStore = m_follower->reachesStore();
    return own;
}

/// The store came back from a copy: what the system wrote there has to be written again, by those
/// that hear it from the store or from a peer.
void RelayDaemon::noteEra(uint64_t era)
{
    const uint64_t before = m_era;
    m_era = std::max(m_era, era);
    if (before == 0 || m_era == before)
        return;
    m_fleet->writeAgain();
    m_follower->noteReturn();
    if (m_fleet->onDuty())
        m_record->keep(m_condemned);
}

void RelayDaemon::takeCondemned(const std::vector<SuspectNews> &condemned)
{
    if (!condemned.empty())
        m_traffic.post([this, condemned] { m_node->m_suspects.join(condemned); });
}

Beliefs RelayDaemon::answerPeer(const AskBeliefs &question) const
{
    const RelayViewPtr view = m_node->m_view.load();
    Beliefs beliefs;
    beliefs.m_summary = ownBeliefs();
    beliefs.m_condemned = m_condemned;
    if (beliefs.m_summary.m_routesVersion > question.m_routesVersion)
        beliefs.m_routesSpec = m_packedRoutes;
    const bool later = beliefs.m_summary.m_directory > question.m_directory;
    if (!view->m_directory || !(later || question.m_inDoubt))
        return beliefs;
    beliefs.m_hasEndpoints = true;
    for (const auto &[id, endpoint] : view->m_directory->m_endpoints)
        beliefs.m_endpoints.push_back(endpoint);
    const auto &doubtful = view->m_directory->m_doubtful;
    beliefs.m_doubtful.assign(doubtful.begin(), doubtful.end());
    const auto &unreadable = view->m_directory->m_unreadable;
    beliefs.m_unreadable.assign(unreadable.begin(), unreadable.end());
    beliefs.m_whole = view->m_directory->m_whole;
    return beliefs;
}

FleetHooks RelayDaemon::fleetHooks()
{
    FleetHooks hooks;
    hooks.m_own = [this] { return ownBeliefs(); };
    hooks.m_answer = [this](const AskBeliefs &question) { return answerPeer(question); };
    hooks.m_heard = [this](const Beliefs &beliefs, Duration callTime) {
        takeBeliefs(beliefs, callTime);
    };
    hooks.m_proof = [this](const FreshnessProof &proof) { takeProof(proof); };
    hooks.m_era = [this](uint64_t era) { noteEra(era); };
    hooks.m_gone = [this](uint64_t origin) {
        m_traffic.post([this, origin] { m_node->forget(origin); });
    };
    hooks.m_peers = [this](const FleetView &fleet) {
        changeView([&fleet](RelayView &view) {
            view.m_vms = fleet.m_vms;
            if (view.m_cell == fleet.m_cell)
                return;
            view.m_cell = fleet.m_cell;
            renewPools(view);
        });
        if (fleet.m_onDuty)
            m_record->load();
        m_traffic.post([this, fleet] {
            m_node->m_loads.setPeers(fleet.m_loads);
            m_node->m_loads.setContacts(fleet.m_contacts);
            m_node->m_onDuty = fleet.m_onDuty;
        });
    };
    hooks.m_tellLoads = [this](const Address &loads) {
        m_traffic.post([this, loads] { m_node->tellAll(loads); });
    };
    return hooks;
}

void RelayDaemon::takeBeliefs(const Beliefs &beliefs, Duration callTime)
{
    // Before the routes, which make this VM ready, and whose proof this VM's own may not be.
    takeCondemned(beliefs.m_condemned);
    const BeliefSummary &summary = beliefs.m_summary;
    if (summary.m_proved)
        takeProof(proofFromAge(summary.m_routesVersion, summary.m_proofEra,
                               Millis(summary.m_proofAgeMs), callTime, Clock::now()));
    if (!beliefs.m_routesSpec.empty()) {
        const auto spec = unpackText(beliefs.m_routesSpec);
        if (spec)
            m_follower->offerRoutes(*spec);
        else
            DecisionLine("peers", "routes of a peer not understood")
                .text("error", spec.error().m_message)
                .write();
    }
    if (!beliefs.m_hasEndpoints)
        return;
    EndpointDirectory directory;
    directory.m_position = summary.m_directory;
    directory.m_whole = beliefs.m_whole;
    directory.m_doubtful.insert(beliefs.m_doubtful.begin(), beliefs.m_doubtful.end());
    directory.m_unreadable.insert(beliefs.m_unreadable.begin(), beliefs.m_unreadable.end());
    for (const EndpointRecord &endpoint : beliefs.m_endpoints)
        directory.m_endpoints[endpoint.m_id] = endpoint;
    m_follower->offerDirectory(directory);
}

void RelayDaemon::answerReady(HttpExchange &exchange)
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
        changeView([&bounds](RelayView &view) { view.m_bounds = bounds; });
    });
}

void RelayDaemon::drain()
{
    if (!m_drainBegun.exchange(true))
        m_control.post([this, begun = Clock::now()] { drainFiber(begun); });
}

void RelayDaemon::drainFiber(TimePoint begun)
{
    const DrainPlan plan{ begun, BalancerNotice, DrainLinger,
                          m_node->m_view.load()->m_bounds.m_grace - GraceReserve };
    changeView([&plan](RelayView &view) { view.m_drain = plan; });
    DecisionLine("main", "draining")
        .number("requests", int64_t(m_clients->activeRequests()))
        .write();
    m_clients->closeAfterAnswers();
    m_fleet->leave();
    while (!endsNow(plan, Clock::now(), m_clients->activeRequests())
           && sleepFor(m_control.context(), DrainPoll)) { }
    m_fleet->removeObject();
    const TimePoint now = Clock::now();
    const TimePoint goneBy =
        std::clamp(plan.m_begunAt + plan.m_grace, now + EndingTime, now + MostRemoval);
    endRequests();
    m_fleet->goodbye(goneBy);
    DecisionLine("main", "drained")
        .number("requests", int64_t(m_clients->activeRequests()))
        .write();
    m_drained.set_value();
}

/// Gives up what is still in progress, so that each client hears how it ended before the threads
/// end: their end breaks off all waits, which a request could not tell from a failed endpoint.
void RelayDaemon::endRequests()
{
    const TimePoint until = Clock::now() + EndingTime;
    m_node->m_ending = true;
    m_clients->drain();
    m_clients->refuseUnread();
    m_traffic.post([this] {
        for (RelayRun *run : m_node->m_runs)
            run->giveUp();
    });
    while (m_clients->connections() > 0 && Clock::now() < until
           && sleepFor(m_control.context(), DrainPoll)) { }
}

void RelayDaemon::wait()
{
    m_drained.get_future().wait();
}

} // namespace stackquay
