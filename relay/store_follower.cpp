#include "relay/store_follower.h"

#include <fmt/format.h>

namespace stackquay {

namespace {

/// A waiting watch is one call; a longer wait makes fewer, and a connection that fell silent is
/// noticed later. Routes are read for their proofs besides.
constexpr Millis EndpointsWait{ 2'500 };
constexpr Millis RoutesWait{ 8'000 };
/// Proofs older than this are renewed, plus up to the jitter, so that mostly one VM of those on
/// duty reads and the others hear of it.
constexpr Millis DutyProofAge{ 900 };
constexpr Millis DutyProofJitter{ 400 };
/// VMs without duty read only if those on duty fail to tell for longer than one takes to lose it.
constexpr Millis OtherProofAge{ 2'000 };
constexpr Millis OtherProofJitter{ 900 };
constexpr Millis Poll{ 100 };
/// A poll that is so late means that the VM stood still; one that is busy is late by some 100 ms.
constexpr Millis StoodStill{ 1'000 };
/// After a change of endpoints the next ones are taken together: while endpoints register one after
/// the other, each would be told alone to every VM that watches. Part of the seconds within which
/// an endpoint that leaves has to be known.
constexpr Millis JoinChanges{ 200 };
/// After failures; a store that is back has to be noticed within a second.
constexpr BackoffSettings Backoff{ Millis(100), Millis(800) };
/// Of VMs without duty, of which there are many: one on duty notices sooner, and tells them.
constexpr BackoffSettings OtherBackoff{ Millis(500), Millis(4'000) };
/// A watch that failed tries again after so long, also if nothing else has reached the store.
constexpr Millis LongestWait{ 2'000 };
/// A VM that starts hears the configuration from its peers, if it has any, within this time.
constexpr Millis FirstReadAfter{ 1'500 };
/// After an outage, endpoints that the store lost are back within two seconds, if they live.
constexpr Millis ReturnGrace{ 2'000 };
/// Failures in a row for this long are an outage, and so is a gap between proofs: entries of
/// endpoints lapse after three heartbeats, 3.6 s, of which one may have passed before.
constexpr Millis OutageAfter{ 1'000 };
constexpr Millis OutageGap{ 2'500 };
/// In a copy from which the store came back, endpoints that left since are there, and those that
/// drain are ready. What lives writes again within two seconds; the entry of one that is gone is
/// removed after three heartbeats, 3.6 s.
constexpr Millis CopyDoubt{ 5'000 };
/// What an ended process wrote is carried out seconds later at most.
constexpr Seconds ForgetStartsAfter{ 60 };
/// A VM that had no answer for so long, one a second being usual, and whose calls failed so short
/// ago, is not the one to follow the store for others. One lost answer says nothing.
constexpr Millis UnableAfterSilence{ 1'200 };
constexpr Millis UnableAfterFailure{ 5'000 };

/// One line for all that a peer's directory changed here.
void logTaken(const EndpointMap &before, const EndpointDirectory &now)
{
    std::string gone;
    for (const auto &[id, endpoint] : before) {
        if (now.m_endpoints.count(id) == 0)
            gone += (gone.empty() ? "" : " ") + id.str();
    }
    std::string changed;
    for (const auto &[id, endpoint] : now.m_endpoints) {
        const auto known = before.find(id);
        if (known == before.end() || known->second != endpoint)
            changed += (changed.empty() ? "" : " ") + id.str() + (endpoint.m_draining ? "-" : "");
    }
    DecisionLine("store", "endpoints taken from a peer")
        .number("era", static_cast<int64_t>(now.m_position.m_era))
        .number("revision", static_cast<int64_t>(now.m_position.m_revision))
        .number("endpoints", static_cast<int64_t>(now.m_endpoints.size()))
        .number("doubtful", static_cast<int64_t>(now.m_doubtful.size()))
        .text("gone", gone)
        .text("changed", changed)
        .write();
}

} // namespace

struct StoreFollower::State : std::enable_shared_from_this<StoreFollower::State> {
    State(FiberThread &thread, KindStore &store, const RelaySource &source, FollowerHooks hooks)
        : m_thread(thread)
        , m_store(store)
        , m_source(source)
        , m_hooks(std::move(hooks))
        , m_random(std::random_device{}())
    { }

    /// One kind of objects that is followed: how it is listed, and how its events are taken.
    struct Followed {
        std::string m_kind;
        Millis m_wait;
        Millis m_join; ///< After a change, until the next ones are asked for.
        bool (State::*m_list)(StorePosition &position);
        void (State::*m_take)(const KindEvents &events);
    };

    /// The latest process known under an id, kept when its entry is gone.
    struct Start {
        uint64_t m_startedMs = 0;
        TimePoint m_seen{};
    };

    FiberThread &m_thread;
    KindStore &m_store;
    const RelaySource &m_source;
    FollowerHooks m_hooks;
    RandomEngine m_random;
    RouteTablePtr m_routes;
    std::string m_routesSpec; ///< As last decoded, so that an unchanged one is not decoded again.
    EndpointDirectory m_directory;
    std::unordered_map<EndpointId, Start> m_starts;
    std::unordered_map<EndpointId, TimePoint> m_removals; ///< Doubtful ones, gone at these times.
    TimePoint m_startedAt{};
    TimePoint m_failingSince{}; ///< First of the calls that failed in a row.
    TimePoint m_lastAnswer{};
    TimePoint m_unableAt{}; ///< Last failure after a silence of some time.
    TimePoint m_returnedAt{}; ///< End of the last outage, or the first list.
    TimePoint m_copyReadUntil{}; ///< Lists may tell what was, as the store came back from a copy.
    std::unordered_map<EndpointId, TimePoint> m_left; ///< Endpoints that are gone, since when.
    uint64_t m_generation = 0; ///< Watches of an earlier one end.
    bool m_watching = false;

    bool takeRoutes(const std::string &spec);
    void followDuty();
    void noteStandstill(Duration sincePoll);
    void startWatches();
    void watch(const Followed &followed, uint64_t generation);
    void proveRoutes();
    Millis proofDue();
    bool readRoutes();
    bool listRoutes(StorePosition &position);
    void takeRouteEvents(const KindEvents &events);
    bool listEndpoints(StorePosition &position);
    void takeEndpointEvents(const KindEvents &events);
    void takeEndpoint(const KindObject &object);
    void dropUnreadable(const KindObject &object, const Error &error);
    void forgetOldStarts();
    void noteLeft(const EndpointMap &before);
    bool isFromCopy(const KindObject &object);
    void endCopyDoubt();
    bool isFromEarlierProcess(const EndpointRecord &endpoint);
    void removeEndpoint(const EndpointId &endpoint);
    void endDoubts();
    void noteDoubts();
    void publishDirectory(const StorePosition &position);
    void noteAlive();
    bool backOff(unsigned failures);
    bool pause(unsigned failures);
    bool awaitAnswer(uint64_t generation);
    bool inReturnGrace(TimePoint now) const;
};

bool StoreFollower::State::inReturnGrace(TimePoint now) const
{
    return m_returnedAt != TimePoint{} && now - m_returnedAt < ReturnGrace;
}

bool StoreFollower::State::backOff(unsigned failures)
{
    const TimePoint now = Clock::now();
    if (m_failingSince == TimePoint{})
        m_failingSince = now;
    if (now - m_lastAnswer > UnableAfterSilence)
        m_unableAt = now;
    return pause(failures);
}

bool StoreFollower::State::pause(unsigned failures)
{
    const BackoffSettings &backoff = m_watching ? Backoff : OtherBackoff;
    return sleepFor(m_thread.context(), backoffDelay(backoff, failures, m_random) + Millis(20));
}

/// While the store answers nothing, one fiber asks it for the age of the routes; those that watch
/// wait for its success, so that an outage costs a third of the calls. False: the thread stops.
bool StoreFollower::State::awaitAnswer(uint64_t generation)
{
    const TimePoint until = Clock::now() + LongestWait;
    while (generation == m_generation && m_failingSince != TimePoint{} && Clock::now() < until) {
        if (!sleepFor(m_thread.context(), Poll))
            return false;
    }
    return true;
}

/// To be called with each answer of the store, before what it says is taken: after an outage,
/// endpoints that it has lost are not gone yet, and watches that still wait may never be answered,
/// so that new ones take their place.
void StoreFollower::State::noteAlive()
{
    const TimePoint now = Clock::now();
    const bool outage = m_failingSince != TimePoint{} && now - m_failingSince > OutageAfter;
    m_failingSince = {};
    m_lastAnswer = now;
    if (!outage)
        return;
    m_returnedAt = now;
    DecisionLine("store", "store regained").write();
    if (m_watching)
        startWatches();
}

void StoreFollower::State::noteStandstill(Duration sincePoll)
{
    if (sincePoll < Poll + StoodStill)
        return;
    DecisionLine("main", "stood still")
        .number("ms", std::chrono::duration_cast<Millis>(sincePoll - Poll).count())
        .write();
    m_hooks.m_stoodStill();
}

/// Begins and ends to follow the store, as the VM takes and loses the duty.
void StoreFollower::State::followDuty()
{
    TimePoint polled = Clock::now();
    do {
        noteStandstill(Clock::now() - std::exchange(polled, Clock::now()));
        const bool onDuty = m_hooks.m_onDuty();
        if (onDuty != m_watching) {
            m_watching = onDuty;
            DecisionLine("store", onDuty ? "follows the store" : "hears of the store from peers")
                .write();
            if (onDuty) {
                startWatches();
            } else {
                ++m_generation;
                m_failingSince = {};
            }
        }
        endDoubts();
        endCopyDoubt();
    } while (sleepFor(m_thread.context(), Poll));
}

void StoreFollower::State::startWatches()
{
    const uint64_t generation = ++m_generation;
    const Followed routes{ m_source.m_routesKind, RoutesWait, Millis(0), &State::listRoutes,
                           &State::takeRouteEvents };
    const Followed endpoints{ m_source.m_endpointsKind, EndpointsWait, JoinChanges,
                              &State::listEndpoints, &State::takeEndpointEvents };
    for (const Followed &followed : { routes, endpoints }) {
        spawnFiber([self = shared_from_this(), followed, generation] {
            self->watch(followed, generation);
        });
    }
}

/// Lists, then watches from there, until a later generation takes over.
void StoreFollower::State::watch(const Followed &followed, uint64_t generation)
{
    unsigned failures = 0;
    StorePosition position;
    while (generation == m_generation) {
        if (!position.known() && !(this->*followed.m_list)(position)) {
            if (!backOff(failures++) || !awaitAnswer(generation))
                return;
            continue;
        }
        const auto events = m_store.watch(followed.m_kind, position, followed.m_wait);
        if (generation != m_generation)
            return;
        if (!events) {
            const bool historyGone = events.error().m_code == ErrorCode::NotFound;
            if (historyGone)
                position = {};
            if (historyGone ? !pause(failures++) : !backOff(failures++) || !awaitAnswer(generation))
                return;
            continue;
        }
        failures = 0;
        noteAlive();
        if (generation != m_generation)
            return;
        position = events->m_position;
        (this->*followed.m_take)(*events);
        if (!events->m_events.empty() && !sleepFor(m_thread.context(), followed.m_join))
            return;
    }
}

bool StoreFollower::State::takeRoutes(const std::string &spec)
{
    if (m_routes && spec == m_routesSpec)
        return true;
    auto table = m_source.m_decodeRoutes(spec);
    if (!table) {
        DecisionLine("store", "routes not understood")
            .text("error", table.error().m_message)
            .write();
        return false;
    }
    if (m_routes && table->m_version <= m_routes->m_version)
        return table->m_version == m_routes->m_version;
    DecisionLine("store", "routes changed")
        .number("version", static_cast<int64_t>(table->m_version))
        .number("before", m_routes ? static_cast<int64_t>(m_routes->m_version) : 0)
        .number("routes", static_cast<int64_t>(table->m_routes.size()))
        .write();
    m_routes = std::make_shared<const RouteTable>(std::move(*table));
    m_routesSpec = spec;
    m_hooks.m_routes(m_routes, spec);
    return true;
}

bool StoreFollower::State::readRoutes()
{
    const TimePoint begun = Clock::now();
    const auto object = m_store.get(m_source.m_routesKind, m_source.m_routesName);
    if (!object)
        return false;
    noteAlive();
    if (!takeRoutes(object->m_spec))
        return false;
    m_hooks.m_proof({ m_routes->m_version, begun, object->m_position.m_era });
    return true;
}

Millis StoreFollower::State::proofDue()
{
    const Millis age = m_watching ? DutyProofAge : OtherProofAge;
    const Millis most = m_watching ? DutyProofJitter : OtherProofJitter;
    std::uniform_int_distribution<Millis::rep> jitter(0, most.count());
    return age + Millis(jitter(m_random));
}

void StoreFollower::State::proveRoutes()
{
    unsigned failures = 0;
    Millis due = proofDue();
    bool wasWatching = m_watching;
    for (;;) {
        if (wasWatching != m_watching) {
            wasWatching = m_watching;
            due = proofDue();
        }
        const FreshnessProof best = m_hooks.m_bestProof();
        const TimePoint now = Clock::now();
        // One on duty whose calls fail asks in any case: its watches wait for the success.
        const bool fails = m_watching && m_failingSince != TimePoint{};
        const bool young = !fails && m_routes && best.m_version == m_routes->m_version
                           && now - best.m_provedAt < due;
        const bool starts = !m_routes && !m_watching && now - m_startedAt < FirstReadAfter;
        if (young || starts) {
            if (!sleepFor(m_thread.context(), Poll))
                return;
            continue;
        }
        due = proofDue();
        if (readRoutes()) {
            failures = 0;
            continue;
        }
        if (!backOff(failures++))
            return;
    }
}

bool StoreFollower::State::listRoutes(StorePosition &position)
{
    const TimePoint begun = Clock::now();
    const auto page = m_store.list(m_source.m_routesKind);
    if (!page)
        return false;
    noteAlive();
    for (const KindObject &object : page->m_objects) {
        if (object.m_name == m_source.m_routesName && takeRoutes(object.m_spec))
            m_hooks.m_proof({ m_routes->m_version, begun, page->m_position.m_era });
    }
    position = page->m_position;
    return true;
}

void StoreFollower::State::takeRouteEvents(const KindEvents &events)
{
    for (const KindEvent &event : events.m_events) {
        if (!event.m_removed && event.m_object.m_name == m_source.m_routesName)
            takeRoutes(event.m_object.m_spec);
    }
}

void StoreFollower::State::takeEndpoint(const KindObject &object)
{
    auto endpoint = m_source.m_decodeEndpoint(object);
    if (!endpoint) {
        dropUnreadable(object, endpoint.error());
        return;
    }
    m_directory.m_unreadable.erase(endpoint->m_id);
    if (isFromEarlierProcess(*endpoint))
        return;
    m_directory.m_doubtful.erase(endpoint->m_id);
    EndpointRecord &known = m_directory.m_endpoints[endpoint->m_id];
    if (known == *endpoint)
        return;
    DecisionLine("store", "endpoint changed")
        .text("endpoint", endpoint->m_id.str())
        .text("service", endpoint->m_service.str())
        .text("address", endpoint->m_address)
        .flag("draining", endpoint->m_draining)
        .number("started_ms", static_cast<int64_t>(endpoint->m_startedMs))
        .write();
    known = std::move(*endpoint);
}

/// An entry that cannot be read names no endpoint, also if it did before. Said once: whoever writes
/// such an entry may write it at each heartbeat.
void StoreFollower::State::dropUnreadable(const KindObject &object, const Error &error)
{
    const EndpointId id(object.m_name);
    m_directory.m_endpoints.erase(id);
    m_directory.m_doubtful.erase(id);
    if (!m_directory.m_unreadable.insert(id).second)
        return;
    DecisionLine("store", "endpoint not understood")
        .text("endpoint", object.m_name)
        .text("error", error.m_message)
        .write();
}

/// Once for all entries that come together: there may be thousands.
void StoreFollower::State::forgetOldStarts()
{
    const TimePoint now = Clock::now();
    std::erase_if(m_starts, [now](const auto &entry) {
        return now - entry.second.m_seen > ForgetStartsAfter;
    });
    std::erase_if(m_left,
                  [now](const auto &entry) { return now - entry.second > ForgetStartsAfter; });
}

/// Remembers which endpoints of @p before are gone.
void StoreFollower::State::noteLeft(const EndpointMap &before)
{
    for (const auto &[id, endpoint] : before) {
        if (m_directory.m_endpoints.count(id) == 0)
            m_left[id] = Clock::now();
    }
}

/// Whether a listed entry may be older than what is known of its endpoint: it is used again once
/// the endpoint has written itself, or when the copy's time is over.
bool StoreFollower::State::isFromCopy(const KindObject &object)
{
    if (Clock::now() >= m_copyReadUntil)
        return false;
    const EndpointId id(object.m_name);
    const auto known = m_directory.m_endpoints.find(id);
    const bool leaves = known != m_directory.m_endpoints.end() && known->second.m_draining;
    if (!leaves && m_left.count(id) == 0)
        return false;
    const auto listed = m_source.m_decodeEndpoint(object);
    if (!listed || listed->m_draining)
        return false;
    DecisionLine("store", "entry of the copy ignored").text("endpoint", id.str()).write();
    return true;
}

/// Lists once more: what stands there now is true.
void StoreFollower::State::endCopyDoubt()
{
    if (m_copyReadUntil == TimePoint{} || Clock::now() < m_copyReadUntil)
        return;
    m_copyReadUntil = {};
    m_left.clear();
    if (m_watching)
        startWatches();
}

/// Whether @p endpoint was written by a process that a later one under its id has replaced. Notes
/// the start of a later one.
bool StoreFollower::State::isFromEarlierProcess(const EndpointRecord &endpoint)
{
    Start &start = m_starts[endpoint.m_id];
    start.m_seen = Clock::now();
    if (endpoint.m_startedMs < start.m_startedMs) {
        DecisionLine("store", "entry of an earlier process ignored")
            .text("endpoint", endpoint.m_id.str())
            .number("started_ms", static_cast<int64_t>(endpoint.m_startedMs))
            .number("known_ms", static_cast<int64_t>(start.m_startedMs))
            .write();
        return true;
    }
    start.m_startedMs = endpoint.m_startedMs;
    return false;
}

void StoreFollower::State::removeEndpoint(const EndpointId &endpoint)
{
    m_directory.m_unreadable.erase(endpoint);
    if (m_directory.m_endpoints.count(endpoint) == 0)
        return;
    if (inReturnGrace(Clock::now())) {
        if (m_directory.m_doubtful.insert(endpoint).second)
            DecisionLine("store", "endpoint in doubt").text("endpoint", endpoint.str()).write();
        return;
    }
    m_directory.m_endpoints.erase(endpoint);
    m_directory.m_doubtful.erase(endpoint);
    m_left[endpoint] = Clock::now();
    DecisionLine("store", "endpoint gone").text("endpoint", endpoint.str()).write();
}

/// Gives each doubtful endpoint its time to come back.
void StoreFollower::State::noteDoubts()
{
    const TimePoint now = Clock::now();
    const TimePoint due = inReturnGrace(now) ? m_returnedAt + ReturnGrace : now + ReturnGrace;
    std::erase_if(m_removals, [this](const auto &entry) {
        return m_directory.m_doubtful.count(entry.first) == 0;
    });
    for (const EndpointId &endpoint : m_directory.m_doubtful)
        m_removals.emplace(endpoint, due);
}

void StoreFollower::State::endDoubts()
{
    const TimePoint now = Clock::now();
    bool changed = false;
    for (const auto &[endpoint, due] : m_removals) {
        if (due > now)
            continue;
        changed = true;
        m_directory.m_doubtful.erase(endpoint);
        m_directory.m_endpoints.erase(endpoint);
        m_left[endpoint] = now;
        DecisionLine("store", "endpoint gone")
            .text("endpoint", endpoint.str())
            .flag("doubtful", true)
            .write();
    }
    // Who has followed the store for the whole time misses nothing.
    const bool followed = m_watching && m_failingSince == TimePoint{} && !inReturnGrace(now);
    if (!m_directory.m_whole && m_directory.m_position.known() && followed) {
        m_directory.m_whole = true;
        changed = true;
    }
    if (changed)
        publishDirectory(m_directory.m_position);
}

void StoreFollower::State::publishDirectory(const StorePosition &position)
{
    m_directory.m_position = std::max(m_directory.m_position, position);
    noteSure(m_directory);
    noteDoubts();
    m_hooks.m_directory(std::make_shared<const EndpointDirectory>(m_directory));
}

bool StoreFollower::State::listEndpoints(StorePosition &position)
{
    const auto page = m_store.list(m_source.m_endpointsKind);
    if (!page)
        return false;
    noteAlive();
    if (!m_directory.m_position.known()) {
        m_returnedAt = Clock::now();
        m_directory.m_whole = false;
    }
    forgetOldStarts();
    std::unordered_set<EndpointId> listed;
    for (const KindObject &object : page->m_objects) {
        listed.insert(EndpointId(object.m_name));
        if (!isFromCopy(object))
            takeEndpoint(object);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, endpoint] : m_directory.m_endpoints) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    for (const EndpointId &id : missing)
        removeEndpoint(id);
    position = page->m_position;
    publishDirectory(position);
    return true;
}

void StoreFollower::State::takeEndpointEvents(const KindEvents &events)
{
    forgetOldStarts();
    for (const KindEvent &event : events.m_events) {
        if (event.m_removed)
            removeEndpoint(EndpointId(event.m_object.m_name));
        else
            takeEndpoint(event.m_object);
    }
    if (!events.m_events.empty())
        publishDirectory(events.m_position);
}

StoreFollower::StoreFollower(FiberThread &thread, KindStore &store, const RelaySource &source,
                             FollowerHooks hooks)
    : m_state(std::make_shared<State>(thread, store, source, std::move(hooks)))
{ }

StoreFollower::~StoreFollower() = default;

void StoreFollower::start()
{
    m_state->m_startedAt = m_state->m_lastAnswer = Clock::now();
    spawnFiber([state = m_state] { state->followDuty(); });
    spawnFiber([state = m_state] { state->proveRoutes(); });
}

void StoreFollower::offerRoutes(const std::string &spec)
{
    m_state->takeRoutes(spec);
}

void StoreFollower::offerDirectory(const EndpointDirectory &directory)
{
    const EndpointMap before = m_state->m_directory.m_endpoints;
    if (!joinDirectory(m_state->m_directory, directory))
        return;
    logTaken(before, m_state->m_directory);
    m_state->noteLeft(before);
    m_state->publishDirectory(m_state->m_directory.m_position);
}

void StoreFollower::noteProofGap(Duration gap)
{
    if (gap > OutageGap)
        m_state->m_returnedAt = Clock::now();
}

void StoreFollower::noteReturn()
{
    m_state->m_returnedAt = Clock::now();
    m_state->m_copyReadUntil = m_state->m_returnedAt + CopyDoubt;
    if (m_state->m_watching)
        m_state->startWatches();
}

bool StoreFollower::reachesStore() const
{
    return m_state->m_unableAt == TimePoint{}
           || Clock::now() - m_state->m_unableAt > UnableAfterFailure;
}

} // namespace stackquay
