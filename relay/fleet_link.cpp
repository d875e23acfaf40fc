#include "relay/fleet_link.h"

#include <algorithm>
#include <map>
#include <utility>

#include <fmt/format.h>

#include "core/json_fields.h"
#include "peers/codec.h"

namespace stackquay {

namespace {

/// Each VM beats this often, and rarer in a large fleet: at most some tens of datagrams a second.
constexpr Millis BeatPeriod{ 500 };
constexpr Millis BeatPeriodPerPeer{ 25 };
/// So many periods without a beat make a peer dead.
constexpr int DeadAfterBeats = 4;
/// Dead peers are greeted once in so many beats: a cut may have ended.
constexpr uint64_t GreetEveryBeats = 6;
/// And forgotten after so long.
constexpr Seconds ForgetAfter{ 60 };
constexpr Seconds ListPeriod{ 30 };
constexpr Millis ListRetry{ 1'000 };
constexpr Millis AskTimeout{ 400 };
/// The first may meet a connection that fell silent; the second opens another.
constexpr int AskTries = 2;
/// A VM on duty asks for a peer's news only if the store has not brought them after this.
constexpr Millis DutyAskDelay{ 120 };
/// The others ask at once, but not all in the same moment.
constexpr Millis AskJitter{ 30 };
/// One way, of the quickest; the age of a proof in a beat grows by it.
constexpr Millis BeatTravel{ 50 };
/// A VM on duty beats to its data centre this often, however many VMs there are, so that its
/// silence is known soon and a large fleet does not take it for gone. In a fleet of 295 VMs, whose
/// period is 7 s, one VM took and left the duty 7 times in 20 s without it.
constexpr Millis DutyBeatPeriod{ 500 };
constexpr Millis DutySilence{ 3'200 };
/// A VM that finds others of its data centre at its start takes no duty before one of them had time
/// to answer, so that all that start at once do not all list the store. The first by name waits
/// shortest: after a kill of all VMs their objects are still there, and nobody answers.
constexpr Millis StartPatience{ 1'200 };
constexpr Millis FirstPatience{ 150 };
constexpr Millis PatienceStep{ 60 };
/// Duty that another takes over is kept for so long, until the other has begun.
constexpr Millis DutyHandover{ 1'500 };
constexpr Millis RemovePoll{ 5 };
/// All VMs write their objects again within this time of a return of the store: 1,200 of them take
/// some 400 writes a second, and all are there within 5 s.
constexpr Millis WriteAgainWithin{ 3'000 };
/// Of each other cell: one may be gone since the list was read.
constexpr size_t ContactsPerCell = 2;

struct Peer {
    Beat m_beat; ///< The last one heard.
    ArrivalClock m_clock;
    TimePoint m_heard{};
    bool m_present = false; ///< Its process is there, as far as is known.
    bool m_askLoads = false; ///< The next beat to it asks what it has in flight.

    /// Whether duties and questions may be given to it.
    bool live() const { return m_present && !m_beat.m_leaving; }
};

/// What a beat is sent for; as in Beat.
struct BeatKind {
    bool m_answer = false;
    bool m_asksLoads = false;
};

RpcLimits rpcLimits(const RelaySettings &settings)
{
    RpcLimits limits;
    limits.m_silence = { silenceBound(settings.m_bounds), true };
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
    RelaySettings m_settings; ///< With the ports as bound.
    const uint64_t m_origin;
    KindStore &m_store;
    const RelaySource &m_source;
    FleetHooks m_hooks;
    DatagramSocket m_socket;
    PeerServer m_server;
    PeerClient m_client;
    std::map<Address, Peer> m_peers; ///< By the address of their beats.
    uint64_t m_beats = 0;
    uint32_t m_mostVms = 1;
    uint32_t m_registeredVms = 1; ///< The most ever found in the store, by this VM or another.
    CellView m_cell;
    bool m_leaving = false;
    bool m_removing = false; ///< Waits for the store to remove its object.
    bool m_gone = false; ///< Says and hears nothing more.
    bool m_asking = false;
    bool m_onDuty = false;
    std::vector<Address> m_contacts; ///< For loads, in other cells.
    TimePoint m_firstOnDuty{}; ///< When it last came first for it.
    TimePoint m_dutyFrom{}; ///< It takes none before.
    RandomEngine m_random{ std::random_device{}() };

    void beatLoop();
    void dutyBeatLoop();
    void registerLoop();
    bool writeObject();
    void writeAgain();
    bool readObjects();
    void chooseContacts(const std::vector<KindObject> &objects);
    bool lacksContacts() const;
    void removeObject();
    void beat(bool all);
    void sendBeat(const Address &to, Peer &peer, bool answer);
    void sendBeat(const Address &to, const BeatKind &kind);
    void receive(const Address &from, std::string_view bytes);
    void hear(const Address &from, Peer &peer, const Beat &beat);
    void greet(const Address &from, Peer &peer, bool wasAlone);
    void takeProof(Peer &peer);
    bool alone() const;
    void expire();
    void publish();
    bool inCell(const VmId &vm) const;
    void noteFleetSize(uint32_t vms);
    void askIfBehind();
    const Peer *peerWithNews();
    bool ask(const Address &peer);
    void updateDuty();
    Duration period() const;
};

Duration FleetLink::State::period() const
{
    return std::max<Duration>(BeatPeriod, BeatPeriodPerPeer * m_peers.size());
}

void FleetLink::State::sendBeat(const Address &to, Peer &peer, bool answer)
{
    const bool asksLoads = !peer.m_present || std::exchange(peer.m_askLoads, false);
    sendBeat(to, { answer, asksLoads });
}

void FleetLink::State::sendBeat(const Address &to, const BeatKind &kind)
{
    const auto endpoint = toUdp(to);
    if (!endpoint)
        return;
    const auto sinceEpoch = Clock::now().time_since_epoch();
    const auto sentUs = std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
    const Beat beat{ m_settings.m_vm,
                     m_settings.m_dataCentre,
                     m_origin,
                     static_cast<uint64_t>(sentUs),
                     m_settings.m_peerCalls,
                     m_settings.m_loads,
                     m_hooks.m_own(),
                     m_onDuty,
                     m_leaving,
                     m_gone,
                     kind.m_answer,
                     kind.m_asksLoads,
                     m_registeredVms };
    m_socket.send(*endpoint, encodeMessage(beat));
}

void FleetLink::State::beat(bool all)
{
    for (auto &[address, peer] : m_peers) {
        if (peer.m_present || all)
            sendBeat(address, peer, false);
    }
}

bool FleetLink::State::alone() const
{
    return std::none_of(m_peers.begin(), m_peers.end(),
                        [](const auto &entry) { return entry.second.m_present; });
}

void FleetLink::State::beatLoop()
{
    do {
        updateDuty();
        beat(m_beats++ % GreetEveryBeats == 0);
        expire();
        askIfBehind();
    } while (sleepFor(m_thread.context(), period()) && !m_gone);
}

void FleetLink::State::dutyBeatLoop()
{
    while (sleepFor(m_thread.context(), DutyBeatPeriod) && !m_gone) {
        updateDuty();
        if (!m_onDuty || period() <= DutyBeatPeriod)
            continue;
        for (auto &[address, peer] : m_peers) {
            if (peer.m_present && peer.m_beat.m_dataCentre == m_settings.m_dataCentre)
                sendBeat(address, peer, false);
        }
    }
}

void FleetLink::State::receive(const Address &from, std::string_view bytes)
{
    const Result<Beat> beat = decodeMessage<Beat>(bytes);
    if (!beat || beat->m_origin == m_origin || m_gone)
        return;
    noteFleetSize(beat->m_fleetVms);
    if (!inCell(beat->m_vm)) {
        if (!beat->m_answer && !beat->m_gone && beat->m_fleetVms < m_registeredVms)
            sendBeat(from, { true, false });
        return;
    }
    Peer &peer = m_peers[from];
    const bool overtaken = peer.m_beat.m_gone && peer.m_beat.m_origin == beat->m_origin;
    if (!overtaken)
        hear(from, peer, *beat);
}

void FleetLink::State::hear(const Address &from, Peer &peer, const Beat &beat)
{
    const bool wasAlone = alone();
    const uint64_t before = peer.m_beat.m_origin;
    const bool restarted = before != beat.m_origin;
    const bool begins = !peer.m_present || restarted;
    const bool leaves = beat.m_leaving && (restarted || !peer.m_beat.m_leaving);
    if (restarted)
        peer.m_clock = {};
    if (restarted && before != 0)
        m_hooks.m_gone(before);
    if (beat.m_gone)
        m_hooks.m_gone(beat.m_origin);
    peer.m_beat = beat;
    peer.m_heard = Clock::now();
    peer.m_present = !beat.m_gone;
    updateDuty();
    m_hooks.m_era(beat.m_beliefs.m_era);
    if (begins || leaves || beat.m_gone) {
        const char *event = leaves ? "peer leaves" : "peer heard";
        DecisionLine("peers", beat.m_gone ? "peer gone" : event)
            .text("vm", beat.m_vm.str())
            .text("address", toString(from))
            .write();
        publish();
    }
    if (beat.m_gone)
        return;
    if (begins || beat.m_asksLoads)
        m_hooks.m_tellLoads(beat.m_loads);
    if (begins)
        greet(from, peer, wasAlone);
    takeProof(peer);
    askIfBehind();
}

/// Says to a peer that is new here, or is heard again, that this VM is there.
void FleetLink::State::greet(const Address &from, Peer &peer, bool wasAlone)
{
    peer.m_askLoads = true;
    // A cut that has ended for one has mostly ended for all.
    if (wasAlone)
        beat(true);
    else if (!peer.m_beat.m_answer)
        sendBeat(from, peer, true);
}

/// The proof that the peer's last beat carries, if it does.
void FleetLink::State::takeProof(Peer &peer)
{
    const TimePoint sent = TimePoint{} + std::chrono::microseconds(peer.m_beat.m_sentUs);
    const Duration delay = delayOf(peer.m_clock, sent, peer.m_heard);
    const BeliefSummary &beliefs = peer.m_beat.m_beliefs;
    if (beliefs.m_proved) {
        m_hooks.m_proof(proofFromAge(beliefs.m_routesVersion, beliefs.m_proofEra,
                                     Millis(beliefs.m_proofAgeMs), BeatTravel + delay,
                                     peer.m_heard));
    }
}

void FleetLink::State::expire()
{
    const TimePoint now = Clock::now();
    bool changed = false;
    for (auto &[address, peer] : m_peers) {
        if (!peer.m_present || now - peer.m_heard <= period() * DeadAfterBeats)
            continue;
        peer.m_present = false;
        changed = true;
        m_hooks.m_gone(peer.m_beat.m_origin);
        DecisionLine("peers", "peer lost").text("vm", peer.m_beat.m_vm.str()).write();
    }
    std::erase_if(m_peers, [now](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.m_present && now - peer.m_heard > ForgetAfter;
    });
    if (changed)
        publish();
}

void FleetLink::State::publish()
{
    FleetView fleet;
    fleet.m_cell = m_cell;
    fleet.m_contacts = m_contacts;
    fleet.m_onDuty = m_onDuty;
    for (const auto &[address, peer] : m_peers) {
        if (peer.m_present)
            fleet.m_loads.push_back(peer.m_beat.m_loads);
    }
    const auto live = static_cast<uint32_t>(fleet.m_loads.size()) + 1;
    m_mostVms = std::max(m_mostVms, live * m_cell.m_cells);
    fleet.m_vms = m_mostVms;
    m_hooks.m_peers(fleet);
}

bool FleetLink::State::inCell(const VmId &vm) const
{
    return cellOf(vm, m_cell.m_cells) == m_cell.m_cell;
}

/// Takes note that so many VMs are registered. Those of other cells are no peers any more.
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
        if (peer.m_beat.m_origin == 0 || inCell(peer.m_beat.m_vm))
            return false;
        m_hooks.m_gone(peer.m_beat.m_origin);
        return true;
    });
    DecisionLine("peers", "cell changed")
        .number("vms", vms)
        .number("cell", cell.m_cell)
        .number("cells", cell.m_cells)
        .write();
    publish();
}

/// A live peer that knows more than this VM; one of the same data centre, if there is one. Any of
/// them, so that not all VMs ask the same.
const Peer *FleetLink::State::peerWithNews()
{
    const BeliefSummary own = m_hooks.m_own();
    const auto hasNews = [&own](const BeliefSummary &its) {
        const bool settles =
            !own.m_directorySure && its.m_directorySure && its.m_directory >= own.m_sure;
        return its.m_routesVersion > own.m_routesVersion || its.m_directory > own.m_directory
               || settles;
    };
    std::vector<const Peer *> near;
    std::vector<const Peer *> far;
    for (const auto &[address, peer] : m_peers) {
        if (peer.live() && hasNews(peer.m_beat.m_beliefs)) {
            const bool isNear = peer.m_beat.m_dataCentre == m_settings.m_dataCentre;
            (isNear ? near : far).push_back(&peer);
        }
    }
    const auto &peers = near.empty() ? far : near;
    if (peers.empty())
        return nullptr;
    return peers[std::uniform_int_distribution<size_t>(0, peers.size() - 1)(m_random)];
}

void FleetLink::State::askIfBehind()
{
    if (m_asking || !peerWithNews())
        return;
    m_asking = true;
    std::uniform_int_distribution<Millis::rep> jitter(0, AskJitter.count());
    const Millis delay = m_onDuty ? DutyAskDelay : Millis(jitter(m_random));
    spawnFiber([self = shared_from_this(), delay] {
        if (sleepFor(self->m_thread.context(), delay)) {
            for (int tries = 0; tries < AskTries; ++tries) {
                const Peer *peer = self->peerWithNews();
                if (!peer || self->ask(Address(peer->m_beat.m_calls)))
                    break;
            }
        }
        self->m_asking = false;
    });
}

bool FleetLink::State::ask(const Address &peer)
{
    const BeliefSummary own = m_hooks.m_own();
    const AskBeliefs question{ own.m_routesVersion, own.m_directory, !own.m_directorySure };
    const TimePoint begun = Clock::now();
    const auto reply = m_client.call(peer, question, AskTimeout);
    if (!reply) {
        DecisionLine("peers", "peer did not tell its beliefs")
            .text("peer", toString(peer))
            .text("error", reply.error().m_message)
            .write();
        return false;
    }
    m_hooks.m_heard(*reply, Clock::now() - begun);
    return true;
}

void FleetLink::State::updateDuty()
{
    const TimePoint now = Clock::now();
    std::vector<DutyCandidate> candidates;
    for (const auto &[address, peer] : m_peers) {
        if (!peer.live())
            continue;
        const bool silent = peer.m_beat.m_onDuty && now - peer.m_heard > DutySilence;
        candidates.push_back({ peer.m_beat.m_vm, peer.m_beat.m_dataCentre,
                               peer.m_beat.m_beliefs.m_reachesStore && !silent,
                               peer.m_beat.m_onDuty });
    }
    const DutyCandidate self{ m_settings.m_vm, m_settings.m_dataCentre,
                              m_hooks.m_own().m_reachesStore, m_onDuty };
    if (!m_leaving && now >= m_dutyFrom && hasWatchDuty(self, candidates))
        m_firstOnDuty = now;
    const bool before = m_onDuty;
    m_onDuty = m_firstOnDuty != TimePoint{} && now - m_firstOnDuty < DutyHandover;
    if (before != m_onDuty)
        publish();
}

bool FleetLink::State::writeObject()
{
    const Json spec = { { "beats", toString(m_settings.m_beats) },
                        { "loads", toString(m_settings.m_loads) },
                        { "data_centre", m_settings.m_dataCentre.str() } };
    const KindObject object{ m_settings.m_vm.str(), {}, spec.dump() };
    const Status created = m_store.create(m_source.m_vmsKind, object);
    if (created)
        return true;
    if (created.error().m_code == ErrorCode::AlreadyExists)
        return m_store.replace(m_source.m_vmsKind, object).has_value();
    return false;
}

/// The store that came back would meet all VMs at once: a call each, over this time.
void FleetLink::State::writeAgain()
{
    spawnFiber([self = shared_from_this()] {
        std::uniform_int_distribution<Millis::rep> delay(0, WriteAgainWithin.count());
        bool wait = sleepFor(self->m_thread.context(), Millis(delay(self->m_random)));
        while (wait && !self->m_leaving && !self->writeObject())
            wait = sleepFor(self->m_thread.context(), ListRetry);
    });
}

/// If the object stays, VMs that start later greet this one in vain; that does no harm.
void FleetLink::State::removeObject()
{
    const Status removed =
        m_hooks.m_own().m_reachesStore
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
    chooseContacts(page->m_objects);
    bool hasNeighbours = false;
    Millis patience = FirstPatience;
    for (const KindObject &object : page->m_objects) {
        if (!inCell(VmId(object.m_name)))
            continue;
        const auto spec = parseJsonObject(object.m_spec);
        const auto beats = spec ? stringField(*spec, "beats") : std::nullopt;
        if (!beats)
            continue;
        const auto address = parseAddress(*beats);
        if (!address || *address == m_settings.m_beats)
            continue;
        if (stringField(*spec, "data_centre") == m_settings.m_dataCentre.str()) {
            hasNeighbours = true;
            if (object.m_name < m_settings.m_vm.str())
                patience += PatienceStep;
        }
        if (m_peers.count(*address) > 0)
            continue;
        Peer &peer = m_peers[*address];
        peer.m_heard = Clock::now();
        sendBeat(*address, peer, false);
    }
    const TimePoint now = Clock::now();
    m_dutyFrom = hasNeighbours ? std::min(m_dutyFrom, now + patience) : now;
    updateDuty();
    return true;
}

/// Any VMs of each other cell, so that not all tell the same.
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

/// As long as VMs register, the list names no VM of some cells.
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
        if (!written && !m_leaving)
            written = writeObject();
        const TimePoint now = Clock::now();
        const bool again = m_onDuty && (lacksContacts() || now - readAt >= ListPeriod);
        if (written && (!read || again)) {
            read = readObjects();
            readAt = now;
        }
    } while (sleepFor(m_thread.context(), ListRetry));
}

FleetLink::FleetLink(FiberThread &thread, const RelaySettings &settings, uint64_t origin,
                     KindStore &store, const RelaySource &source, FleetHooks hooks)
    : m_state(std::make_shared<State>(thread, settings, origin, store, source, std::move(hooks)))
{ }

FleetLink::~FleetLink() = default;

Status FleetLink::listen(const Address &loads)
{
    State *state = m_state.get();
    state->m_settings.m_loads = loads;
    const auto beats = state->m_socket.listen(
        state->m_settings.m_beats,
        [state](const Address &from, std::string_view bytes) { state->receive(from, bytes); });
    if (!beats)
        return tl::unexpected(beats.error());
    state->m_settings.m_beats = *beats;
    state->m_server.handle<AskBeliefs>([state](const AskBeliefs &question) -> Result<Beliefs> {
        return state->m_hooks.m_answer(question);
    });
    const auto calls = state->m_server.listen(state->m_settings.m_peerCalls);
    if (!calls)
        return tl::unexpected(calls.error());
    state->m_settings.m_peerCalls = *calls;
    return {};
}

void FleetLink::start()
{
    m_state->m_dutyFrom = Clock::now() + StartPatience;
    spawnFiber([state = m_state] { state->beatLoop(); });
    spawnFiber([state = m_state] { state->dutyBeatLoop(); });
    spawnFiber([state = m_state] { state->registerLoop(); });
}

void FleetLink::leave()
{
    m_state->m_leaving = true;
    m_state->updateDuty();
    m_state->beat(true);
}

void FleetLink::removeObject()
{
    m_state->m_removing = true;
    spawnFiber([state = m_state] { state->removeObject(); });
}

void FleetLink::goodbye(TimePoint by)
{
    State &state = *m_state;
    while (state.m_removing && Clock::now() < by
           && sleepFor(state.m_thread.context(), RemovePoll)) { }
    state.m_gone = true;
    state.beat(false);
}

void FleetLink::writeAgain()
{
    m_state->writeAgain();
}

void FleetLink::beatNow()
{
    m_state->beat(false);
}

bool FleetLink::onDuty() const
{
    m_state->updateDuty(); // A wait may have ended since it was last looked at.
    return m_state->m_onDuty;
}

} // namespace stackquay
