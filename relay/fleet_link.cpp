#include "relay/fleet_link.h"

#include <algorithm>
#include <map>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "core/json_fields.h"
#include "peers/codec.h"

namespace stackquay {

namespace {

/// Grows with the number of peers, so that a VM in a large fleet sends at most some tens of
/// datagrams a second.
constexpr Millis HeartbeatPeriod{ 500 };
constexpr Millis HeartbeatPeriodPerPeer{ 25 };
/// A peer without a heartbeat for this many periods is considered dead.
constexpr int DeadAfterPeriods = 4;
/// Dead peers still receive a heartbeat in one of this many periods, because a network partition
/// may have ended.
constexpr uint64_t ProbeDeadEveryPeriods = 6;
/// Dead peers are removed after this time.
constexpr Seconds ForgetAfter{ 60 };
constexpr Seconds ListPeriod{ 30 };
constexpr Millis StoreRetryPeriod{ 1'000 };
constexpr Millis FetchTimeout{ 400 };
/// The first call may use a connection that fell silent; the second one opens a new connection.
constexpr int FetchAttempts = 2;
/// A store watcher fetches a peer's newer state only if the store has not delivered it after this
/// time.
constexpr Millis WatcherFetchDelay{ 120 };
/// Spreads the fetches of the other VMs.
constexpr Millis FetchJitter{ 30 };
/// Assumed transit time of the fastest heartbeat, one way; added to the age of a proof.
constexpr Millis HeartbeatTransit{ 50 };
/// A store watcher sends heartbeats within its data centre at this period regardless of the fleet
/// size, so that peers notice its failure soon and do not assume it in a large fleet. In a fleet of
/// 295 VMs, with a period of 7 s, one VM took and lost the role 7 times in 20 s without this.
constexpr Millis WatcherHeartbeatPeriod{ 500 };
/// A VM that stood still for longer may have heartbeats to read before it judges a silence.
constexpr Millis StallThreshold{ 500 };
/// A VM that starts waits at most this part of the recovery time for a store watcher: after a crash
/// of all VMs their objects are still in the store, and those that precede it may not come back.
constexpr int ElectionShare = 2;
/// A VM keeps the store watcher role this long after another one took it over, until that one has
/// started.
constexpr Millis WatcherHandover{ 1'500 };
/// The VMs that a VM finds in the store reply to its first heartbeat within this time. VMs that
/// start together find each other by the heartbeats of the later ones.
constexpr Millis PeerLearningTime{ 2'000 };
constexpr Millis RemovePoll{ 5 };
/// After the store was restored, all VMs write their objects again within this time: 1,200 VMs make
/// about 400 writes a second, and all objects are there within 5 s.
constexpr Millis RewriteSpread{ 3'000 };
/// For each other cell: one of them may have exited since the list was read.
constexpr size_t ContactsPerCell = 2;
/// One may fail without taking the parts of all VMs with it.
constexpr size_t MaxRetryHolders = 2;

struct Peer {
    Heartbeat m_lastHeartbeat; ///< The last one received.
    DelayEstimator m_clock;
    TimePoint m_lastHeardAt{};
    bool m_alive = false; ///< No sign that its process has exited.
    bool m_requestLoads = false; ///< The next heartbeat to it requests its requests in flight.

    /// Whether it may watch the store and answer fetches.
    bool isAvailable() const { return m_alive && !m_lastHeartbeat.m_draining; }
};

/// See the members of Heartbeat.
struct HeartbeatFlags {
    bool m_isReply = false;
    bool m_requestsLoads = false;
};

ForwardPeer forwardPeerOf(const Heartbeat &heartbeat)
{
    return { heartbeat.m_vm, heartbeat.m_dataCentre, toString(heartbeat.m_forward),
             heartbeat.m_millicores };
}

RpcLimits rpcLimits(const RelaySettings &settings)
{
    RpcLimits limits;
    limits.m_silence = { silenceTimeout(settings.m_bounds), true };
    return limits;
}

} // namespace

struct FleetLink::State : std::enable_shared_from_this<FleetLink::State> {
    State(FiberThread &thread, RelaySettings settings, uint64_t origin, KindStore &store,
          const RelaySource &source, FleetHooks hooks)
        : m_thread(thread)
        , m_settings(std::move(settings))
        , m_origin(origin)
        , m_store(store)
        , m_source(source)
        , m_hooks(std::move(hooks))
        , m_socket(thread)
        , m_server(thread, rpcLimits(m_settings))
        , m_client(thread.context(), rpcLimits(m_settings))
    { }

    FiberThread &m_thread;
    RelaySettings m_settings; ///< Includes the bound ports.
    const uint64_t m_origin;
    KindStore &m_store;
    const RelaySource &m_source;
    FleetHooks m_hooks;
    DatagramSocket m_socket;
    PeerServer m_server;
    PeerClient m_client;
    std::map<Address, Peer> m_peers; ///< By the source address of their heartbeats.
    uint64_t m_heartbeatRounds = 0;
    uint32_t m_maxVms = 1;
    /// The highest number of VM objects found in the store, by this VM or another.
    uint32_t m_registeredVms = 1;
    CellView m_cell;
    bool m_draining = false;
    bool m_removing = false; ///< The removal of this VM's object is in progress.
    bool m_gone = false; ///< Sends and accepts no more heartbeats after the last one.
    bool m_fetching = false;
    bool m_needsAllEndpoints = false; ///< The changes received last did not apply.
    bool m_watchesStore = false;
    std::vector<Address> m_contacts; ///< Load message addresses in other cells.
    TimePoint m_lastElected{}; ///< The last time that it was elected store watcher.
    TimePoint m_electableFrom{}; ///< It is not elected earlier.
    TimePoint m_watcherHeardAt{}; ///< The last heartbeat of a store watcher of the data centre.
    TimePoint m_roleUpdatedAt{};
    TimePoint m_resumedAt{}; ///< When this VM last went on after it had stood still.
    TimePoint m_listedAt{}; ///< When the objects of the other VMs were first read.
    bool m_peersKnown = false; ///< See FleetView.
    RandomEngine m_random{ std::random_device{}() };

    void heartbeatLoop();
    void watcherHeartbeatLoop();
    void registerLoop();
    bool writeObject();
    void rewriteObject();
    bool readObjects();
    void chooseContacts(const std::vector<KindObject> &objects);
    bool lacksContacts() const;
    void removeObject();
    void sendHeartbeats(bool all);
    void sendHeartbeat(const Address &to, Peer &peer, bool answer);
    void sendHeartbeat(const Address &to, const HeartbeatFlags &kind);
    void receive(const Address &from, std::string_view bytes);
    void handleHeartbeat(const Address &from, Peer &peer, const Heartbeat &heartbeat);
    void announceTo(const Address &from, Peer &peer, bool hadNoPeers);
    void applyProof(Peer &peer);
    bool hasNoPeers() const;
    void expire();
    void notePeersKnown();
    void publish();
    bool inCell(const VmId &vm) const;
    void noteFleetSize(uint32_t vms);
    void fetchIfBehind();
    const Peer *peerWithNewerState();
    bool fetchState(const Address &peer);
    std::vector<DutyCandidate> dutyCandidates() const;
    DutyCandidate ownCandidacy() const;
    void updateWatcherRole();
    Duration silenceSince(TimePoint heardAt) const;
    Duration period() const;
    Duration maxElectionDelay() const { return m_settings.m_bounds.m_recoveryTime / ElectionShare; }
};

Duration FleetLink::State::period() const
{
    return std::max<Duration>(HeartbeatPeriod, HeartbeatPeriodPerPeer * m_peers.size());
}

void FleetLink::State::sendHeartbeat(const Address &to, Peer &peer, bool answer)
{
    const bool asksLoads = !peer.m_alive || std::exchange(peer.m_requestLoads, false);
    sendHeartbeat(to, { answer, asksLoads });
}

void FleetLink::State::sendHeartbeat(const Address &to, const HeartbeatFlags &kind)
{
    const auto endpoint = toUdp(to);
    if (!endpoint)
        return;
    const auto sinceEpoch = Clock::now().time_since_epoch();
    const auto sentUs = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    const Heartbeat heartbeat{ m_settings.m_vm,
                               m_settings.m_dataCentre,
                               m_origin,
                               static_cast<uint64_t>(sentUs),
                               m_settings.m_peerRpc,
                               m_settings.m_loads,
                               m_hooks.m_ownSummary(),
                               m_watchesStore,
                               m_draining,
                               m_gone,
                               kind.m_isReply,
                               kind.m_requestsLoads,
                               m_registeredVms,
                               m_settings.m_millicores,
                               m_settings.m_forward,
                               m_hooks.m_isIsolated() };
    m_socket.send(*endpoint, encodeMessage(heartbeat));
}

void FleetLink::State::sendHeartbeats(bool all)
{
    for (auto &[address, peer] : m_peers) {
        if (peer.m_alive || all)
            sendHeartbeat(address, peer, false);
    }
}

bool FleetLink::State::hasNoPeers() const
{
    return std::none_of(m_peers.begin(), m_peers.end(),
                        [](const auto &entry) { return entry.second.m_alive; });
}

void FleetLink::State::heartbeatLoop()
{
    do {
        updateWatcherRole();
        sendHeartbeats(m_heartbeatRounds++ % ProbeDeadEveryPeriods == 0);
        expire();
        notePeersKnown();
        fetchIfBehind();
    } while (sleepFor(m_thread.context(), period()) && !m_gone);
}

void FleetLink::State::watcherHeartbeatLoop()
{
    while (sleepFor(m_thread.context(), WatcherHeartbeatPeriod) && !m_gone) {
        updateWatcherRole();
        if (!m_watchesStore || period() <= WatcherHeartbeatPeriod)
            continue;
        for (auto &[address, peer] : m_peers) {
            if (peer.m_alive && peer.m_lastHeartbeat.m_dataCentre == m_settings.m_dataCentre)
                sendHeartbeat(address, peer, false);
        }
    }
}

void FleetLink::State::receive(const Address &from, std::string_view bytes)
{
    const Result<Heartbeat> heartbeat = decodeMessage<Heartbeat>(bytes);
    if (!heartbeat || heartbeat->m_origin == m_origin || m_gone)
        return;
    noteFleetSize(heartbeat->m_fleetVms);
    if (!inCell(heartbeat->m_vm)) {
        if (!heartbeat->m_isReply && !heartbeat->m_gone && heartbeat->m_fleetVms < m_registeredVms)
            sendHeartbeat(from, { true, false });
        return;
    }
    Peer &peer = m_peers[from];
    const bool overtaken =
        peer.m_lastHeartbeat.m_gone && peer.m_lastHeartbeat.m_origin == heartbeat->m_origin;
    if (!overtaken)
        handleHeartbeat(from, peer, *heartbeat);
}

void FleetLink::State::handleHeartbeat(const Address &from, Peer &peer, const Heartbeat &heartbeat)
{
    const bool hadNoPeers = hasNoPeers();
    const uint64_t before = peer.m_lastHeartbeat.m_origin;
    const bool restarted = before != heartbeat.m_origin;
    const bool begins = !peer.m_alive || restarted;
    const bool rerouted = heartbeat.m_isolated != peer.m_lastHeartbeat.m_isolated;
    const bool drains = heartbeat.m_draining && (restarted || !peer.m_lastHeartbeat.m_draining);
    if (restarted)
        peer.m_clock = {};
    if (restarted && before != 0)
        m_hooks.m_onProcessGone(before);
    if (heartbeat.m_gone)
        m_hooks.m_onProcessGone(heartbeat.m_origin);
    peer.m_lastHeartbeat = heartbeat;
    peer.m_lastHeardAt = Clock::now();
    peer.m_alive = !heartbeat.m_gone;
    if (heartbeat.m_watchesStore && heartbeat.m_dataCentre == m_settings.m_dataCentre)
        m_watcherHeardAt = peer.m_lastHeardAt;
    updateWatcherRole();
    m_hooks.m_era(heartbeat.m_stateSummary.m_era);
    if (begins || drains || heartbeat.m_gone) {
        const char *event = drains ? "peer leaves" : "peer heard";
        DecisionLine("peers", heartbeat.m_gone ? "peer gone" : event)
            .text("vm", heartbeat.m_vm.str())
            .text("address", toString(from))
            .write();
        publish();
    } else if (rerouted) {
        publish();
    }
    if (heartbeat.m_gone)
        return;
    if (begins || heartbeat.m_requestsLoads)
        m_hooks.m_sendLoads(heartbeat.m_loads);
    if (begins)
        announceTo(from, peer, hadNoPeers);
    applyProof(peer);
    fetchIfBehind();
}

/// Replies to a peer that is new, or alive again.
void FleetLink::State::announceTo(const Address &from, Peer &peer, bool hadNoPeers)
{
    peer.m_requestLoads = true;
    // The end of a network partition mostly restores all peers.
    if (hadNoPeers)
        sendHeartbeats(true);
    else if (!peer.m_lastHeartbeat.m_isReply)
        sendHeartbeat(from, peer, true);
}

/// Reports the proofs in the peer's last heartbeat, if it has any.
void FleetLink::State::applyProof(Peer &peer)
{
    const TimePoint sent = TimePoint{} + std::chrono::microseconds(peer.m_lastHeartbeat.m_sentUs);
    const Duration delay = HeartbeatTransit + excessDelay(peer.m_clock, sent, peer.m_lastHeardAt);
    const StateSummary &summary = peer.m_lastHeartbeat.m_stateSummary;
    if (summary.m_proved)
        m_hooks.m_onProof(routesProofOf(summary, delay, peer.m_lastHeardAt));
    if (summary.m_directoryProved)
        m_hooks.m_onDirectoryProof(directoryProofOf(summary, delay, peer.m_lastHeardAt));
}

void FleetLink::State::expire()
{
    const TimePoint now = Clock::now();
    bool changed = false;
    for (auto &[address, peer] : m_peers) {
        if (!peer.m_alive || now - peer.m_lastHeardAt <= period() * DeadAfterPeriods)
            continue;
        peer.m_alive = false;
        changed = true;
        m_hooks.m_onProcessGone(peer.m_lastHeartbeat.m_origin);
        DecisionLine("peers", "peer lost").text("vm", peer.m_lastHeartbeat.m_vm.str()).write();
    }
    std::erase_if(m_peers, [now](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.m_alive && now - peer.m_lastHeardAt > ForgetAfter;
    });
    if (changed)
        publish();
}

void FleetLink::State::notePeersKnown()
{
    if (m_peersKnown || m_listedAt == TimePoint{} || Clock::now() - m_listedAt < PeerLearningTime)
        return;
    m_peersKnown = true;
    publish();
}

void FleetLink::State::publish()
{
    FleetView fleet;
    fleet.m_cell = m_cell;
    fleet.m_contacts = m_contacts;
    fleet.m_watchesStore = m_watchesStore;
    for (const auto &[address, peer] : m_peers) {
        if (!peer.m_alive)
            continue;
        fleet.m_loads.push_back(peer.m_lastHeartbeat.m_loads);
        fleet.m_peers.push_back(peer.m_lastHeartbeat.m_vm);
        if (!peer.m_lastHeartbeat.m_draining && !peer.m_lastHeartbeat.m_isolated)
            fleet.m_forwardPeers.push_back(forwardPeerOf(peer.m_lastHeartbeat));
        if (peer.isAvailable() && peer.m_lastHeartbeat.m_dataCentre == m_settings.m_dataCentre)
            fleet.m_retryHolders.push_back(
                { peer.m_lastHeartbeat.m_origin, peer.m_lastHeartbeat.m_loads,
                  peer.m_lastHeartbeat.m_vm, peer.m_lastHeartbeat.m_millicores });
    }
    if (!m_draining)
        fleet.m_retryHolders.push_back(
            { m_origin, m_settings.m_loads, m_settings.m_vm, m_settings.m_millicores });
    std::sort(fleet.m_retryHolders.begin(), fleet.m_retryHolders.end(),
              [](const RetryHolder &left, const RetryHolder &right) {
                  return std::tie(right.m_millicores, left.m_vm)
                         < std::tie(left.m_millicores, right.m_vm);
              });
    if (fleet.m_retryHolders.size() > MaxRetryHolders)
        fleet.m_retryHolders.resize(MaxRetryHolders);
    fleet.m_peersKnown = m_peersKnown;
    const auto live = static_cast<uint32_t>(fleet.m_loads.size()) + 1;
    m_maxVms = std::max(m_maxVms, live * m_cell.m_cells);
    fleet.m_vms = m_maxVms;
    m_hooks.m_onFleetChange(fleet);
}

bool FleetLink::State::inCell(const VmId &vm) const
{
    return cellOf(vm, m_cell.m_cells) == m_cell.m_cell;
}

/// Updates the number of registered VMs, and with it the cells. VMs of other cells are removed from
/// the peers.
void FleetLink::State::noteFleetSize(uint32_t vms)
{
    if (vms <= m_registeredVms)
        return;
    m_registeredVms = vms;
    const CellView cell = cellViewOf(m_settings.m_vm, vms);
    if (cell == m_cell)
        return;
    m_cell = cell;
    std::erase_if(m_peers, [this](const auto &entry) {
        const Peer &peer = entry.second;
        if (peer.m_lastHeartbeat.m_origin == 0 || inCell(peer.m_lastHeartbeat.m_vm))
            return false;
        m_hooks.m_onProcessGone(peer.m_lastHeartbeat.m_origin);
        return true;
    });
    DecisionLine("peers", "cell changed")
        .number("vms", vms)
        .number("cell", cell.m_cell)
        .number("cells", cell.m_cells)
        .write();
    publish();
}

/// A random available peer with newer state, preferably of the same data centre; null if there is
/// none. The random choice spreads the load.
const Peer *FleetLink::State::peerWithNewerState()
{
    const StateSummary own = m_hooks.m_ownSummary();
    const auto isNewer = [&own](const StateSummary &its) {
        const bool settles = !own.m_directoryConfirmed && its.m_directoryConfirmed
                             && its.m_directory >= own.m_lastConfirmed;
        return its.m_routesVersion > own.m_routesVersion || its.m_directory > own.m_directory
               || its.m_evacuations > own.m_evacuations || settles;
    };
    std::vector<const Peer *> local;
    std::vector<const Peer *> remote;
    for (const auto &[address, peer] : m_peers) {
        if (peer.isAvailable() && isNewer(peer.m_lastHeartbeat.m_stateSummary)) {
            const bool isLocal = peer.m_lastHeartbeat.m_dataCentre == m_settings.m_dataCentre;
            (isLocal ? local : remote).push_back(&peer);
        }
    }
    const auto &peers = local.empty() ? remote : local;
    if (peers.empty())
        return nullptr;
    return peers[std::uniform_int_distribution<size_t>(0, peers.size() - 1)(m_random)];
}

void FleetLink::State::fetchIfBehind()
{
    if (m_fetching || !peerWithNewerState())
        return;
    m_fetching = true;
    std::uniform_int_distribution<Millis::rep> jitter(0, FetchJitter.count());
    const Millis delay = m_watchesStore ? WatcherFetchDelay : Millis(jitter(m_random));
    spawnFiber([self = shared_from_this(), delay] {
        if (sleepFor(self->m_thread.context(), delay)) {
            for (int tries = 0; tries < FetchAttempts; ++tries) {
                const Peer *peer = self->peerWithNewerState();
                if (!peer || self->fetchState(Address(peer->m_lastHeartbeat.m_rpcAddress)))
                    break;
            }
        }
        self->m_fetching = false;
    });
}

bool FleetLink::State::fetchState(const Address &peer)
{
    const StateSummary own = m_hooks.m_ownSummary();
    const StateRequest request{ own.m_routesVersion, own.m_directory,
                                !own.m_directoryConfirmed || m_needsAllEndpoints,
                                own.m_evacuations };
    const TimePoint begun = Clock::now();
    const auto reply = m_client.call(peer, request, FetchTimeout);
    if (!reply) {
        DecisionLine("peers", "peer did not tell its beliefs")
            .text("peer", toString(peer))
            .text("error", reply.error().m_message)
            .write();
        return false;
    }
    m_needsAllEndpoints = !m_hooks.m_onState(*reply, Clock::now() - begun);
    return !m_needsAllEndpoints;
}

std::vector<DutyCandidate> FleetLink::State::dutyCandidates() const
{
    std::vector<DutyCandidate> candidates;
    for (const auto &[address, peer] : m_peers) {
        if (!peer.isAvailable())
            continue;
        const bool silent = peer.m_lastHeartbeat.m_watchesStore
                            && silenceSince(peer.m_lastHeardAt) > WatcherSilenceTimeout;
        candidates.push_back({ peer.m_lastHeartbeat.m_vm, peer.m_lastHeartbeat.m_dataCentre,
                               peer.m_lastHeartbeat.m_stateSummary.m_reachesStore && !silent,
                               peer.m_lastHeartbeat.m_watchesStore,
                               peer.m_lastHeartbeat.m_millicores });
    }
    return candidates;
}

DutyCandidate FleetLink::State::ownCandidacy() const
{
    return { m_settings.m_vm, m_settings.m_dataCentre, m_hooks.m_ownSummary().m_reachesStore,
             m_watchesStore, m_settings.m_millicores };
}

void FleetLink::State::updateWatcherRole()
{
    const TimePoint now = Clock::now();
    if (now - std::exchange(m_roleUpdatedAt, now) > StallThreshold)
        m_resumedAt = now;
    const std::vector<DutyCandidate> candidates = dutyCandidates();
    const DutyCandidate self = ownCandidacy();
    const bool takesOver = m_watcherHeardAt != TimePoint{}
                           && takesOverWatch(self, candidates, silenceSince(m_watcherHeardAt));
    if (!m_draining && now >= m_electableFrom && (takesOver || isStoreWatcher(self, candidates)))
        m_lastElected = now;
    const bool before = m_watchesStore;
    m_watchesStore = m_lastElected != TimePoint{} && now - m_lastElected < WatcherHandover;
    if (before == m_watchesStore)
        return;
    publish();
    // Before the others take over as well.
    if (m_watchesStore)
        sendHeartbeats(false);
}

/// Time without a heartbeat since @p heardAt in which this VM could have received one.
Duration FleetLink::State::silenceSince(TimePoint heardAt) const
{
    return Clock::now() - std::max(heardAt, m_resumedAt);
}

bool FleetLink::State::writeObject()
{
    const Json spec = { { "beats", toString(m_settings.m_heartbeats) },
                        { "loads", toString(m_settings.m_loads) },
                        { "data_centre", m_settings.m_dataCentre.str() },
                        { "millicores", m_settings.m_millicores } };
    const KindObject object{ m_settings.m_vm.str(), {}, spec.dump() };
    const Status created = m_store.create(m_source.m_vmsKind, object);
    if (created)
        return true;
    if (created.error().m_code == ErrorCode::AlreadyExists)
        return m_store.replace(m_source.m_vmsKind, object).has_value();
    return false;
}

/// The delay spreads the writes of all VMs to a store that was just restored.
void FleetLink::State::rewriteObject()
{
    spawnFiber([self = shared_from_this()] {
        std::uniform_int_distribution<Millis::rep> delay(0, RewriteSpread.count());
        bool wait = sleepFor(self->m_thread.context(), Millis(delay(self->m_random)));
        while (wait && !self->m_draining && !self->writeObject())
            wait = sleepFor(self->m_thread.context(), StoreRetryPeriod);
    });
}

/// If the removal fails, new VMs send heartbeats to this VM in vain, which does no harm.
void FleetLink::State::removeObject()
{
    const Status removed =
        m_hooks.m_ownSummary().m_reachesStore
            ? m_store.remove(m_source.m_vmsKind, { m_settings.m_vm.str(), {}, "" })
            : Status(makeError(ErrorCode::Unavailable, "the store is away"));
    if (!removed)
        DecisionLine("peers", "own object not removed")
            .text("error", removed.error().m_message)
            .write();
    m_removing = false;
}

bool FleetLink::State::readObjects()
{
    const auto page = m_store.list(m_source.m_vmsKind);
    if (!page)
        return false;
    noteFleetSize(static_cast<uint32_t>(page->m_objects.size()));
    if (m_listedAt == TimePoint{})
        m_listedAt = Clock::now();
    chooseContacts(page->m_objects);
    std::vector<DutyCandidate> local;
    for (const KindObject &object : page->m_objects) {
        if (!inCell(VmId(object.m_name)))
            continue;
        const auto spec = parseJsonObject(object.m_spec);
        const auto beats = spec ? stringField(*spec, "beats") : std::nullopt;
        if (!beats)
            continue;
        const auto address = parseAddress(*beats);
        if (!address || *address == m_settings.m_heartbeats)
            continue;
        if (stringField(*spec, "data_centre") == m_settings.m_dataCentre.str()) {
            local.push_back(
                { VmId(object.m_name), m_settings.m_dataCentre, true, false,
                  static_cast<uint32_t>(
                      uintField(*spec, "millicores").value_or(DutyCandidate{}.m_millicores)) });
        }
        if (m_peers.count(*address) > 0)
            continue;
        Peer &peer = m_peers[*address];
        peer.m_lastHeardAt = Clock::now();
        sendHeartbeat(*address, peer, false);
    }
    const TimePoint now = Clock::now();
    const DutyCandidate self{ m_settings.m_vm, m_settings.m_dataCentre, true, false,
                              m_settings.m_millicores };
    const Duration delay =
        local.empty() ? Duration::zero() : electionDelay(self, local, maxElectionDelay());
    m_electableFrom = std::min(m_electableFrom, now + delay);
    updateWatcherRole();
    return true;
}

/// Chooses random VMs of each other cell, so that the VMs of this cell use different ones.
void FleetLink::State::chooseContacts(const std::vector<KindObject> &objects)
{
    std::map<uint32_t, std::vector<Address>> cells;
    for (const KindObject &object : objects) {
        const VmId vm(object.m_name);
        if (inCell(vm))
            continue;
        const auto spec = parseJsonObject(object.m_spec);
        const auto loads = spec ? stringField(*spec, "loads") : std::nullopt;
        if (!loads)
            continue;
        const auto address = parseAddress(*loads);
        if (address)
            cells[cellOf(vm, m_cell.m_cells)].push_back(*address);
    }
    m_contacts.clear();
    for (const auto &[cell, addresses] : cells) {
        std::sample(addresses.begin(), addresses.end(), std::back_inserter(m_contacts),
                    ContactsPerCell, m_random);
    }
    if (!cells.empty())
        publish();
}

/// While VMs still register, the list may contain no VM of some cells.
bool FleetLink::State::lacksContacts() const
{
    return m_contacts.size() + 1 < m_cell.m_cells;
}

void FleetLink::State::registerLoop()
{
    bool written = false;
    bool read = false;
    TimePoint readAt{};
    do {
        if (!written && !m_draining)
            written = writeObject();
        const TimePoint now = Clock::now();
        const bool again = m_watchesStore && (lacksContacts() || now - readAt >= ListPeriod);
        if (written && (!read || again)) {
            read = readObjects();
            readAt = now;
        }
    } while (sleepFor(m_thread.context(), StoreRetryPeriod));
}

FleetLink::FleetLink(FiberThread &thread, const RelaySettings &settings, uint64_t origin,
                     KindStore &store, const RelaySource &source, FleetHooks hooks)
    : m_state(std::make_shared<State>(thread, settings, origin, store, source, std::move(hooks)))
{ }

FleetLink::~FleetLink() = default;

Status FleetLink::listen(const Address &loads, const Address &forward)
{
    State *state = m_state.get();
    state->m_settings.m_loads = loads;
    state->m_settings.m_forward = forward;
    const auto beats = state->m_socket.listen(
        state->m_settings.m_heartbeats,
        [state](const Address &from, std::string_view bytes) { state->receive(from, bytes); });
    if (!beats)
        return tl::unexpected(beats.error());
    state->m_settings.m_heartbeats = *beats;
    state->m_server.handle<StateRequest>(
        [state](const StateRequest &request) -> Result<StateSnapshot> {
            return state->m_hooks.m_answerRequest(request);
        });
    const auto calls = state->m_server.listen(state->m_settings.m_peerRpc);
    if (!calls)
        return tl::unexpected(calls.error());
    state->m_settings.m_peerRpc = *calls;
    return {};
}

void FleetLink::start()
{
    m_state->m_electableFrom = Clock::now() + m_state->maxElectionDelay();
    spawnFiber([state = m_state] { state->heartbeatLoop(); });
    spawnFiber([state = m_state] { state->watcherHeartbeatLoop(); });
    spawnFiber([state = m_state] { state->registerLoop(); });
}

void FleetLink::announceDrain()
{
    m_state->m_draining = true;
    m_state->updateWatcherRole();
    m_state->sendHeartbeats(true);
}

void FleetLink::removeObject()
{
    m_state->m_removing = true;
    spawnFiber([state = m_state] { state->removeObject(); });
}

void FleetLink::announceExit(TimePoint by)
{
    State &state = *m_state;
    while (state.m_removing && Clock::now() < by
           && sleepFor(state.m_thread.context(), RemovePoll)) { }
    state.m_gone = true;
    state.sendHeartbeats(false);
}

void FleetLink::rewriteObject()
{
    m_state->rewriteObject();
}

void FleetLink::sendHeartbeatsNow()
{
    m_state->sendHeartbeats(false);
}

unsigned FleetLink::readTurn() const
{
    return stackquay::readTurn(m_state->ownCandidacy(), m_state->dutyCandidates());
}

bool FleetLink::watchesStore() const
{
    m_state->updateWatcherRole(); // The election delay may have passed since the last update.
    return m_state->m_watchesStore;
}

} // namespace stackquay
