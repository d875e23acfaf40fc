#include "relay/fleet_link.h"

#include <algorithm>
#include <map>

#include <fmt/format.h>

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
/// A peer's news are asked for only if the store has not brought them after this.
constexpr Millis AskDelay{ 120 };
/// One way; the age of a proof in a beat grows by it.
constexpr Millis BeatTravel{ 50 };

struct Peer {
    Beat m_beat;
    TimePoint m_heard{};
    bool m_live = false;
};

using SpecJson = nlohmann::json;

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
        , m_server(thread)
        , m_client(thread.context())
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
    bool m_leaving = false;
    bool m_asking = false;
    TimePoint m_newsSince{}; ///< When a peer first had what this VM lacks.

    void beatLoop();
    void registerLoop();
    bool writeObject();
    bool readObjects();
    void beat(bool all);
    void sendBeat(const Address &to, bool answer);
    void receive(const Address &from, std::string_view bytes);
    void expire();
    void publish();
    void askIfBehind();
    void ask(const Address &peer);
    Duration period() const;
};

Duration FleetLink::State::period() const
{
    return std::max<Duration>(BeatPeriod, BeatPeriodPerPeer * m_peers.size());
}

void FleetLink::State::sendBeat(const Address &to, bool answer)
{
    const auto endpoint = toUdp(to);
    if (!endpoint)
        return;
    const Beliefs own = m_hooks.m_own();
    Beat beat{ m_settings.m_vm,
               m_origin,
               m_settings.m_peerCalls,
               m_settings.m_loads,
               own.m_routesVersion,
               own.m_proofAgeMs,
               own.m_directoryRevision,
               m_leaving,
               answer };
    if (!own.m_proved)
        beat.m_routesVersion = 0;
    m_socket.send(*endpoint, encodeMessage(beat));
}

void FleetLink::State::beat(bool all)
{
    for (const auto &[address, peer] : m_peers) {
        if (peer.m_live || all)
            sendBeat(address, false);
    }
}

void FleetLink::State::beatLoop()
{
    do {
        beat(m_beats++ % GreetEveryBeats == 0);
        expire();
        askIfBehind();
    } while (sleepFor(m_thread.context(), period()));
}

void FleetLink::State::receive(const Address &from, std::string_view bytes)
{
    const Result<Beat> beat = decodeMessage<Beat>(bytes);
    if (!beat || beat->m_origin == m_origin)
        return;
    Peer &peer = m_peers[from];
    const bool restarted = peer.m_beat.m_origin != beat->m_origin;
    const bool changed = !peer.m_live || restarted || beat->m_leaving;
    if (restarted && peer.m_beat.m_origin != 0)
        m_hooks.m_gone(peer.m_beat.m_origin);
    peer.m_beat = *beat;
    peer.m_heard = Clock::now();
    peer.m_live = !beat->m_leaving;
    if (changed) {
        DecisionLine("peers", beat->m_leaving ? "peer leaves" : "peer heard")
            .text("vm", beat->m_vm.str())
            .text("address", toString(from))
            .write();
        publish();
        if (!beat->m_answer && peer.m_live)
            sendBeat(from, true);
    }
    if (beat->m_routesVersion != 0) {
        m_hooks.m_proof(proofFromAge(beat->m_routesVersion, Millis(beat->m_proofAgeMs), BeatTravel,
                                     peer.m_heard));
    }
    askIfBehind();
}

void FleetLink::State::expire()
{
    const TimePoint now = Clock::now();
    bool changed = false;
    for (auto &[address, peer] : m_peers) {
        if (!peer.m_live || now - peer.m_heard <= period() * DeadAfterBeats)
            continue;
        peer.m_live = false;
        changed = true;
        m_hooks.m_gone(peer.m_beat.m_origin);
        DecisionLine("peers", "peer lost").text("vm", peer.m_beat.m_vm.str()).write();
    }
    std::erase_if(m_peers, [now](const auto &entry) {
        const Peer &peer = entry.second;
        return !peer.m_live && now - peer.m_heard > ForgetAfter;
    });
    if (changed)
        publish();
}

void FleetLink::State::publish()
{
    std::vector<Address> loads;
    for (const auto &[address, peer] : m_peers) {
        if (peer.m_live)
            loads.push_back(peer.m_beat.m_loads);
    }
    m_mostVms = std::max(m_mostVms, static_cast<uint32_t>(loads.size()) + 1);
    m_hooks.m_peers(loads, m_mostVms);
}

void FleetLink::State::askIfBehind()
{
    if (m_asking)
        return;
    const Beliefs own = m_hooks.m_own();
    const Peer *ahead = nullptr;
    for (const auto &[address, peer] : m_peers) {
        const bool news = peer.m_beat.m_routesVersion > own.m_routesVersion
                          || peer.m_beat.m_directoryRevision > own.m_directoryRevision;
        if (peer.m_live && news)
            ahead = &peer;
    }
    const TimePoint now = Clock::now();
    if (!ahead) {
        m_newsSince = {};
        return;
    }
    if (m_newsSince == TimePoint{})
        m_newsSince = now;
    m_asking = true;
    spawnFiber([self = shared_from_this(), calls = ahead->m_beat.m_calls] {
        if (sleepFor(self->m_thread.context(), AskDelay))
            self->ask(calls);
        self->m_asking = false;
    });
}

void FleetLink::State::ask(const Address &peer)
{
    const Beliefs own = m_hooks.m_own();
    const TimePoint begun = Clock::now();
    const auto reply =
        m_client.call(peer, AskBeliefs{ own.m_routesVersion, own.m_directoryRevision }, AskTimeout);
    if (!reply) {
        DecisionLine("peers", "peer did not tell its beliefs")
            .text("peer", toString(peer))
            .text("error", reply.error().m_message)
            .write();
        return;
    }
    m_hooks.m_heard(*reply, Clock::now() - begun);
}

bool FleetLink::State::writeObject()
{
    const SpecJson spec = { { "beats", toString(m_settings.m_beats) } };
    const KindObject object{ m_settings.m_vm.str(), 0, spec.dump() };
    const Status created = m_store.create(m_source.m_vmsKind, object);
    if (created)
        return true;
    if (created.error().m_code == ErrorCode::AlreadyExists)
        return m_store.replace(m_source.m_vmsKind, object).has_value();
    return false;
}

bool FleetLink::State::readObjects()
{
    const auto page = m_store.list(m_source.m_vmsKind);
    if (!page)
        return false;
    for (const KindObject &object : page->m_objects) {
        const SpecJson spec = SpecJson::parse(object.m_spec, nullptr, false);
        if (!spec.is_object() || !spec.contains("beats") || !spec["beats"].is_string())
            continue;
        const auto address = parseAddress(spec["beats"].get<std::string>());
        if (!address || *address == m_settings.m_beats || m_peers.count(*address) > 0)
            continue;
        m_peers[*address].m_heard = Clock::now();
        sendBeat(*address, false);
    }
    return true;
}

void FleetLink::State::registerLoop()
{
    bool written = false;
    bool read = false;
    for (;;) {
        if (!written && !m_leaving)
            written = writeObject();
        if (written)
            read = readObjects();
        const Duration wait = written && read ? Duration(ListPeriod) : Duration(ListRetry);
        if (!sleepFor(m_thread.context(), wait))
            return;
    }
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
    spawnFiber([state = m_state] { state->beatLoop(); });
    spawnFiber([state = m_state] { state->registerLoop(); });
}

void FleetLink::leave()
{
    m_state->m_leaving = true;
    m_state->beat(true);
    spawnFiber([state = m_state] {
        const Status removed = state->m_store.remove(state->m_source.m_vmsKind,
                                                     { state->m_settings.m_vm.str(), 0, "" });
        if (!removed)
            DecisionLine("peers", "own object not removed")
                .text("error", removed.error().m_message)
                .write();
    });
}

void FleetLink::beatNow()
{
    m_state->beat(false);
}

} // namespace stackquay
