#include "relay/store_follower.h"

#include <fmt/format.h>

namespace stackquay {

namespace {

/// A waiting watch is one call: a longer timeout needs fewer calls, but detects a dead connection
/// later. Routes are also read for their proofs.
constexpr Millis EndpointsWatchTimeout{ 2'500 };
constexpr Millis RoutesWatchTimeout{ 8'000 };
constexpr Millis EvacuationsWatchTimeout{ 8'000 };
/// Older proofs are renewed. Because of the jitter, mostly one of the store watchers reads and the
/// others receive its proof.
constexpr Millis WatcherProofAge{ 900 };
constexpr Millis WatcherProofJitter{ 400 };
/// Other VMs read only if the store watchers send no proof for longer than it takes to replace a
/// failed one.
constexpr Millis NonWatcherProofAge{ 2'000 };
constexpr Millis NonWatcherProofJitter{ 900 };
constexpr Millis Poll{ 100 };
/// A poll that is late by this much means that the VM was suspended; under load it is late by about
/// 100 ms.
constexpr Millis SuspensionThreshold{ 1'000 };
/// Delay of a watch after a change, which batches changes: while endpoints register one after the
/// other, each change would otherwise be sent to every watching VM alone. It is part of the few
/// seconds within which a leaving endpoint must be known.
constexpr Millis ChangeBatchDelay{ 200 };
/// After failures; a recovered store must be noticed within a second.
constexpr BackoffSettings WatcherBackoff{ Millis(100), Millis(800) };
/// Longer for the many other VMs: a store watcher notices the recovery first and informs them.
constexpr BackoffSettings NonWatcherBackoff{ Millis(500), Millis(4'000) };
/// A failed watch retries after this time even if no other call has reached the store.
constexpr Millis MaxAnswerWait{ 2'000 };
/// A new VM receives the configuration from its peers, if it has any, within this time.
constexpr Millis FirstReadAfter{ 1'500 };
/// After an outage, live endpoints that the store lost register again within 2 s.
constexpr Millis RecoveryGrace{ 2'000 };
/// Consecutive failures for this long are an outage, and so is a gap of OutageGap between proofs:
/// entries of endpoints expire after three heartbeats, 3.6 s, of which one may have passed before.
constexpr Millis OutageAfter{ 1'000 };
constexpr Millis OutageGap{ 2'500 };
/// A backup from which the store was restored contains endpoints that have left since, and shows
/// draining ones as ready. Live endpoints write their entry again within 2 s; the entry of a dead
/// one is removed after three heartbeats, 3.6 s.
constexpr Millis RestoreGrace{ 5'000 };
/// Writes of an exited process are applied some seconds later at most.
constexpr Seconds ForgetProcessesAfter{ 60 };
/// A VM without an answer for this long, where one a second is usual, and with failed calls until
/// this recently, should not be a store watcher. One lost answer is no evidence.
constexpr Millis UnreachableAfterSilence{ 1'200 };
constexpr Millis UnreachableAfterFailure{ 5'000 };

/// Logs the changes merged from a peer's directory in one line.
void logMerge(const EndpointMap &before, const EndpointDirectory &now)
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
        .number("doubtful", static_cast<int64_t>(now.m_unconfirmed.size()))
        .text("gone", gone)
        .text("changed", changed)
        .write();
}

} // namespace

struct StoreFollower::State : std::enable_shared_from_this<StoreFollower::State> {
    State(FiberThread &thread, KindStore &store, const RelaySource &source, FollowerHooks hooks,
          bool followEvacuations)
        : m_followEvacuations(followEvacuations)
        , m_thread(thread)
        , m_store(store)
        , m_source(source)
        , m_hooks(std::move(hooks))
        , m_random(std::random_device{}())
    { }

    /// A watched kind of objects, with its list and update functions.
    struct WatchedKind {
        std::string m_kind;
        Millis m_watchTimeout;
        Millis m_batchDelay; ///< Pause after a change before the next watch call.
        bool (State::*m_list)(StorePosition &position);
        void (State::*m_apply)(const KindEvents &events);
    };

    /// The latest known process of an endpoint id; kept after its entry is removed.
    struct ProcessStart {
        uint64_t m_startedMs = 0;
        TimePoint m_seen{};
    };

    const bool m_followEvacuations;
    FiberThread &m_thread;
    KindStore &m_store;
    const RelaySource &m_source;
    FollowerHooks m_hooks;
    RandomEngine m_random;
    RouteTablePtr m_routes;
    std::string m_routesSpec; ///< The last decoded spec; an unchanged one is not decoded again.
    EndpointDirectory m_directory;
    Evacuations m_evacuations;
    std::unordered_map<EndpointId, ProcessStart> m_processStarts;
    /// Entries that could not be decoded, and the revisions of them that were logged.
    std::unordered_map<EndpointId, uint64_t> m_unreadableRevisions;
    /// Unconfirmed endpoints, and when they are removed.
    std::unordered_map<EndpointId, TimePoint> m_pendingRemovals;
    TimePoint m_startedAt{};
    TimePoint m_failingSince{}; ///< First of the consecutive failures.
    TimePoint m_lastAnswer{};
    TimePoint m_unreachableAt{}; ///< Last failure after UnreachableAfterSilence.
    TimePoint m_recoveredAt{}; ///< End of the last outage, or time of the first list.
    /// Until then lists may contain outdated entries, because the store was restored from a backup.
    TimePoint m_restoreGraceUntil{};
    /// Removed endpoints, and when they were removed.
    std::unordered_map<EndpointId, TimePoint> m_departed;
    uint64_t m_generation = 0; ///< Watches of earlier generations stop.
    bool m_watching = false;

    bool applyRoutes(const std::string &spec);
    void followWatcherRole();
    void noteSuspension(Duration sincePoll);
    void startWatches();
    void watch(const WatchedKind &followed, uint64_t generation);
    void proveRoutes();
    Millis proofDue();
    bool readRoutes();
    bool listRoutes(StorePosition &position);
    void applyRouteEvents(const KindEvents &events);
    bool listEndpoints(StorePosition &position);
    void applyEndpointEvents(const KindEvents &events);
    bool listEvacuations(StorePosition &position);
    void applyEvacuationEvents(const KindEvents &events);
    void applyEvacuations(const Evacuations &evacuations);
    void noteColdPeriod(const EndpointRecord &endpoint);
    void applyEndpoint(const KindObject &object);
    void dropUnreadable(const KindObject &object, const Error &error);
    void noteReadable(const EndpointId &endpoint);
    void forgetOldProcesses();
    void noteDepartures(const EndpointMap &before);
    bool isStaleAfterRestore(const KindObject &object);
    void endRestoreGrace();
    bool isFromEarlierProcess(const EndpointRecord &endpoint);
    void removeEndpoint(const EndpointId &endpoint);
    void expireUnconfirmed();
    void scheduleRemovals();
    void publishDirectory(const StorePosition &position);
    void noteAnswer();
    bool backOff(unsigned failures);
    void noteUnreachable(TimePoint now);
    bool pause(unsigned failures);
    bool awaitAnswer(uint64_t generation);
    bool inRecoveryGrace(TimePoint now) const;
};

bool StoreFollower::State::inRecoveryGrace(TimePoint now) const
{
    return m_recoveredAt != TimePoint{} && now - m_recoveredAt < RecoveryGrace;
}

bool StoreFollower::State::backOff(unsigned failures)
{
    const TimePoint now = Clock::now();
    if (m_failingSince == TimePoint{})
        m_failingSince = now;
    if (now - m_lastAnswer > UnreachableAfterSilence)
        noteUnreachable(now);
    return pause(failures);
}

/// Logged once until a call succeeds again.
void StoreFollower::State::noteUnreachable(TimePoint now)
{
    if (m_unreachableAt < m_lastAnswer)
        DecisionLine("store", "store not reached")
            .number("silent_ms", std::chrono::duration_cast<Millis>(now - m_lastAnswer).count())
            .flag("watches_store", m_watching)
            .write();
    m_unreachableAt = now;
}

bool StoreFollower::State::pause(unsigned failures)
{
    const BackoffSettings &backoff = m_watching ? WatcherBackoff : NonWatcherBackoff;
    return sleepFor(m_thread.context(), backoffDelay(backoff, failures, m_random) + Millis(20));
}

/// While the store does not answer, only proveRoutes() calls it and the watches wait for its
/// success, so that an outage causes a third of the calls. Returns false if the thread stops.
bool StoreFollower::State::awaitAnswer(uint64_t generation)
{
    const TimePoint until = Clock::now() + MaxAnswerWait;
    while (generation == m_generation && m_failingSince != TimePoint{} && Clock::now() < until) {
        if (!sleepFor(m_thread.context(), Poll))
            return false;
    }
    return true;
}

/// Called with each answer of the store, before its content is applied. After an outage, endpoints
/// that the store lost are kept for a while, and new watches replace the pending ones, which may
/// never be answered.
void StoreFollower::State::noteAnswer()
{
    const TimePoint now = Clock::now();
    const bool outage = m_failingSince != TimePoint{} && now - m_failingSince > OutageAfter;
    m_failingSince = {};
    m_lastAnswer = now;
    if (!outage)
        return;
    m_recoveredAt = now;
    DecisionLine("store", "store regained").write();
    if (m_watching)
        startWatches();
}

void StoreFollower::State::noteSuspension(Duration sincePoll)
{
    if (sincePoll < Poll + SuspensionThreshold)
        return;
    DecisionLine("main", "stood still")
        .number("ms", std::chrono::duration_cast<Millis>(sincePoll - Poll).count())
        .write();
    m_hooks.m_onSuspension();
}

/// Starts and stops the watches as this VM becomes a store watcher or stops being one.
void StoreFollower::State::followWatcherRole()
{
    TimePoint polled = Clock::now();
    do {
        noteSuspension(Clock::now() - std::exchange(polled, Clock::now()));
        const bool watchesStore = m_hooks.m_watchesStore();
        if (watchesStore != m_watching) {
            m_watching = watchesStore;
            DecisionLine("store",
                         watchesStore ? "follows the store" : "hears of the store from peers")
                .write();
            if (watchesStore) {
                startWatches();
            } else {
                ++m_generation;
                m_failingSince = {};
            }
        }
        expireUnconfirmed();
        endRestoreGrace();
    } while (sleepFor(m_thread.context(), Poll));
}

void StoreFollower::State::startWatches()
{
    const uint64_t generation = ++m_generation;
    const WatchedKind routes{ m_source.m_routesKind, RoutesWatchTimeout, Millis(0),
                              &State::listRoutes, &State::applyRouteEvents };
    const WatchedKind endpoints{ m_source.m_endpointsKind, EndpointsWatchTimeout, ChangeBatchDelay,
                                 &State::listEndpoints, &State::applyEndpointEvents };
    const WatchedKind evacuations{ m_source.m_evacuationsKind, EvacuationsWatchTimeout, Millis(0),
                                   &State::listEvacuations, &State::applyEvacuationEvents };
    for (const WatchedKind &followed : { routes, endpoints, evacuations }) {
        if (followed.m_kind == m_source.m_evacuationsKind && !m_followEvacuations)
            continue;
        spawnFiber([self = shared_from_this(), followed, generation] {
            self->watch(followed, generation);
        });
    }
}

/// Lists, then watches from that position, until a later generation starts.
void StoreFollower::State::watch(const WatchedKind &followed, uint64_t generation)
{
    unsigned failures = 0;
    StorePosition position;
    while (generation == m_generation) {
        if (!position.known() && !(this->*followed.m_list)(position)) {
            if (!backOff(failures++) || !awaitAnswer(generation))
                return;
            continue;
        }
        const auto events = m_store.watch(followed.m_kind, position, followed.m_watchTimeout);
        if (generation != m_generation)
            return;
        if (!events) {
            const bool historyGone = events.error().m_code == ErrorCode::NotFound;
            const bool unreadable = events.error().m_code == ErrorCode::ProtocolError;
            if (unreadable && failures == 0)
                DecisionLine("store", "watch not understood")
                    .text("kind", followed.m_kind)
                    .number("revision", static_cast<int64_t>(position.m_revision))
                    .text("error", events.error().m_message)
                    .write();
            // The same events would come again from the same position.
            if (historyGone || unreadable)
                position = {};
            if (historyGone ? !pause(failures++) : !backOff(failures++) || !awaitAnswer(generation))
                return;
            continue;
        }
        failures = 0;
        noteAnswer();
        if (generation != m_generation)
            return;
        position = events->m_position;
        (this->*followed.m_apply)(*events);
        if (!events->m_events.empty() && !sleepFor(m_thread.context(), followed.m_batchDelay))
            return;
    }
}

bool StoreFollower::State::applyRoutes(const std::string &spec)
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
    m_hooks.m_onRoutes(m_routes, spec);
    return true;
}

bool StoreFollower::State::readRoutes()
{
    const TimePoint begun = Clock::now();
    const auto object = m_store.get(m_source.m_routesKind, m_source.m_routesName);
    if (!object)
        return false;
    noteAnswer();
    if (!applyRoutes(object->m_spec))
        return false;
    m_hooks.m_onProof({ m_routes->m_version, begun, object->m_position.m_era });
    return true;
}

Millis StoreFollower::State::proofDue()
{
    const Millis age = m_watching ? WatcherProofAge : NonWatcherProofAge;
    const Millis most = m_watching ? WatcherProofJitter : NonWatcherProofJitter;
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
        // A store watcher whose calls fail reads in any case, because its watches wait for a
        // success.
        const bool fails = m_watching && m_failingSince != TimePoint{};
        const bool recent = !fails && m_routes && best.m_version == m_routes->m_version
                            && now - best.m_provedAt < due;
        const bool starts = !m_routes && !m_watching && now - m_startedAt < FirstReadAfter;
        if (recent || starts) {
            if (!sleepFor(m_thread.context(), Poll))
                return;
            continue;
        }
        due = proofDue();
        if (!m_watching && best.known())
            DecisionLine("store", "reads the store itself")
                .number("age_ms", std::chrono::duration_cast<Millis>(now - best.m_provedAt).count())
                .write();
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
    noteAnswer();
    for (const KindObject &object : page->m_objects) {
        if (object.m_name == m_source.m_routesName && applyRoutes(object.m_spec))
            m_hooks.m_onProof({ m_routes->m_version, begun, page->m_position.m_era });
    }
    position = page->m_position;
    return true;
}

void StoreFollower::State::applyRouteEvents(const KindEvents &events)
{
    for (const KindEvent &event : events.m_events) {
        if (!event.m_removed && event.m_object.m_name == m_source.m_routesName)
            applyRoutes(event.m_object.m_spec);
    }
}

bool StoreFollower::State::listEvacuations(StorePosition &position)
{
    const auto page = m_store.list(m_source.m_evacuationsKind);
    if (!page)
        return false;
    noteAnswer();
    Evacuations listed;
    listed.m_position = page->m_position;
    for (const KindObject &object : page->m_objects)
        listed.m_dataCentres.insert(DataCentreId(object.m_name));
    // The restored store may lack an evacuation until operators write it again.
    if (Clock::now() < m_restoreGraceUntil)
        listed.m_dataCentres.insert(m_evacuations.m_dataCentres.begin(),
                                    m_evacuations.m_dataCentres.end());
    position = page->m_position;
    applyEvacuations(listed);
    return true;
}

void StoreFollower::State::applyEvacuationEvents(const KindEvents &events)
{
    if (events.m_events.empty())
        return;
    Evacuations changed = m_evacuations;
    changed.m_position = events.m_position;
    for (const KindEvent &event : events.m_events) {
        const DataCentreId dataCentre(event.m_object.m_name);
        if (event.m_removed)
            changed.m_dataCentres.erase(dataCentre);
        else
            changed.m_dataCentres.insert(dataCentre);
    }
    applyEvacuations(changed);
}

void StoreFollower::State::applyEvacuations(const Evacuations &evacuations)
{
    const std::set<DataCentreId> before = m_evacuations.m_dataCentres;
    if (!mergeEvacuations(m_evacuations, evacuations))
        return;
    if (before != m_evacuations.m_dataCentres) {
        std::string names;
        for (const DataCentreId &dataCentre : m_evacuations.m_dataCentres)
            names += (names.empty() ? "" : " ") + dataCentre.str();
        DecisionLine("store", "evacuations changed")
            .text("data_centres", names)
            .number("era", static_cast<int64_t>(m_evacuations.m_position.m_era))
            .number("revision", static_cast<int64_t>(m_evacuations.m_position.m_revision))
            .write();
    }
    m_hooks.m_onEvacuations(m_evacuations);
}

void StoreFollower::State::noteColdPeriod(const EndpointRecord &endpoint)
{
    if (endpoint.m_coldLeftMs > 0)
        m_directory.m_coldUntil[endpoint.m_id] = Clock::now() + Millis(endpoint.m_coldLeftMs);
    else
        m_directory.m_coldUntil.erase(endpoint.m_id);
}

void StoreFollower::State::applyEndpoint(const KindObject &object)
{
    auto endpoint = m_source.m_decodeEndpoint(object);
    if (!endpoint) {
        dropUnreadable(object, endpoint.error());
        return;
    }
    noteReadable(endpoint->m_id);
    if (isFromEarlierProcess(*endpoint))
        return;
    m_directory.m_unconfirmed.erase(endpoint->m_id);
    EndpointRecord &known = m_directory.m_endpoints[endpoint->m_id];
    if (known == *endpoint)
        return;
    DecisionLine("store", "endpoint changed")
        .text("endpoint", endpoint->m_id.str())
        .text("service", endpoint->m_service.str())
        .text("address", endpoint->m_address)
        .flag("draining", endpoint->m_draining)
        .number("started_ms", static_cast<int64_t>(endpoint->m_startedMs))
        .number("cold_ms", endpoint->m_coldLeftMs)
        .write();
    noteColdPeriod(*endpoint);
    known = std::move(*endpoint);
}

/// An entry that cannot be decoded removes the endpoint. Logged once for each change of the entry:
/// lists contain it again and again.
void StoreFollower::State::dropUnreadable(const KindObject &object, const Error &error)
{
    const EndpointId id(object.m_name);
    m_directory.m_endpoints.erase(id);
    m_directory.m_unconfirmed.erase(id);
    m_directory.m_unreadable.insert(id);
    const uint64_t revision = object.m_position.m_revision;
    const auto [logged, added] = m_unreadableRevisions.try_emplace(id, revision);
    if (!added && std::exchange(logged->second, revision) == revision)
        return;
    m_hooks.m_onUnreadable();
    DecisionLine("store", "endpoint not understood")
        .text("kind", m_source.m_endpointsKind)
        .text("endpoint", object.m_name)
        .number("revision", static_cast<int64_t>(revision))
        .text("error", error.m_message)
        .write();
}

void StoreFollower::State::noteReadable(const EndpointId &endpoint)
{
    m_directory.m_unreadable.erase(endpoint);
    m_unreadableRevisions.erase(endpoint);
}

/// Called once for all entries that arrive together, as there may be thousands.
void StoreFollower::State::forgetOldProcesses()
{
    const TimePoint now = Clock::now();
    std::erase_if(m_processStarts, [now](const auto &entry) {
        return now - entry.second.m_seen > ForgetProcessesAfter;
    });
    std::erase_if(m_departed,
                  [now](const auto &entry) { return now - entry.second > ForgetProcessesAfter; });
}

/// Records which endpoints of @p before were removed.
void StoreFollower::State::noteDepartures(const EndpointMap &before)
{
    for (const auto &[id, endpoint] : before) {
        if (m_directory.m_endpoints.count(id) == 0)
            m_departed[id] = Clock::now();
    }
}

/// Whether a listed entry may be older than the known state of its endpoint. Such entries are
/// ignored until the endpoint writes its entry again or the restore grace time ends.
bool StoreFollower::State::isStaleAfterRestore(const KindObject &object)
{
    if (Clock::now() >= m_restoreGraceUntil)
        return false;
    const EndpointId id(object.m_name);
    const auto known = m_directory.m_endpoints.find(id);
    const bool leaves = known != m_directory.m_endpoints.end() && known->second.m_draining;
    if (!leaves && m_departed.count(id) == 0)
        return false;
    const auto listed = m_source.m_decodeEndpoint(object);
    if (!listed || listed->m_draining)
        return false;
    DecisionLine("store", "entry of the copy ignored").text("endpoint", id.str()).write();
    return true;
}

/// Lists again once the grace time has ended, when the entries are current.
void StoreFollower::State::endRestoreGrace()
{
    if (m_restoreGraceUntil == TimePoint{} || Clock::now() < m_restoreGraceUntil)
        return;
    m_restoreGraceUntil = {};
    m_departed.clear();
    if (m_watching)
        startWatches();
}

/// Whether @p endpoint was written by a process that a later one with its id has replaced. Records
/// the start time of a later one.
bool StoreFollower::State::isFromEarlierProcess(const EndpointRecord &endpoint)
{
    ProcessStart &start = m_processStarts[endpoint.m_id];
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
    noteReadable(endpoint);
    if (m_directory.m_endpoints.count(endpoint) == 0)
        return;
    if (inRecoveryGrace(Clock::now())) {
        if (m_directory.m_unconfirmed.insert(endpoint).second)
            DecisionLine("store", "endpoint in doubt").text("endpoint", endpoint.str()).write();
        return;
    }
    m_directory.m_endpoints.erase(endpoint);
    m_directory.m_unconfirmed.erase(endpoint);
    m_departed[endpoint] = Clock::now();
    DecisionLine("store", "endpoint gone").text("endpoint", endpoint.str()).write();
}

/// Sets the removal time of each unconfirmed endpoint.
void StoreFollower::State::scheduleRemovals()
{
    const TimePoint now = Clock::now();
    const TimePoint due =
        inRecoveryGrace(now) ? m_recoveredAt + RecoveryGrace : now + RecoveryGrace;
    std::erase_if(m_pendingRemovals, [this](const auto &entry) {
        return m_directory.m_unconfirmed.count(entry.first) == 0;
    });
    for (const EndpointId &endpoint : m_directory.m_unconfirmed)
        m_pendingRemovals.emplace(endpoint, due);
}

void StoreFollower::State::expireUnconfirmed()
{
    const TimePoint now = Clock::now();
    bool changed = false;
    for (const auto &[endpoint, due] : m_pendingRemovals) {
        if (due > now)
            continue;
        changed = true;
        m_directory.m_unconfirmed.erase(endpoint);
        m_directory.m_endpoints.erase(endpoint);
        m_departed[endpoint] = now;
        DecisionLine("store", "endpoint gone")
            .text("endpoint", endpoint.str())
            .flag("doubtful", true)
            .write();
    }
    // A VM that has watched the store for the whole time has a complete directory.
    const bool followed = m_watching && m_failingSince == TimePoint{} && !inRecoveryGrace(now);
    if (!m_directory.m_complete && m_directory.m_position.known() && followed) {
        m_directory.m_complete = true;
        changed = true;
    }
    if (changed)
        publishDirectory(m_directory.m_position);
}

void StoreFollower::State::publishDirectory(const StorePosition &position)
{
    m_directory.m_position = std::max(m_directory.m_position, position);
    std::erase_if(m_directory.m_coldUntil,
                  [now = Clock::now()](const auto &entry) { return entry.second <= now; });
    updateConfirmedPosition(m_directory);
    scheduleRemovals();
    m_hooks.m_onDirectory(std::make_shared<const EndpointDirectory>(m_directory));
}

bool StoreFollower::State::listEndpoints(StorePosition &position)
{
    const auto page = m_store.list(m_source.m_endpointsKind);
    if (!page)
        return false;
    noteAnswer();
    if (!m_directory.m_position.known()) {
        m_recoveredAt = Clock::now();
        m_directory.m_complete = false;
    }
    forgetOldProcesses();
    std::unordered_set<EndpointId> listed;
    for (const KindObject &object : page->m_objects) {
        listed.insert(EndpointId(object.m_name));
        if (!isStaleAfterRestore(object))
            applyEndpoint(object);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, endpoint] : m_directory.m_endpoints) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    for (const EndpointId &id : missing)
        removeEndpoint(id);
    std::erase_if(m_directory.m_unreadable,
                  [&listed](const EndpointId &id) { return listed.count(id) == 0; });
    std::erase_if(m_unreadableRevisions,
                  [&listed](const auto &entry) { return listed.count(entry.first) == 0; });
    position = page->m_position;
    publishDirectory(position);
    return true;
}

void StoreFollower::State::applyEndpointEvents(const KindEvents &events)
{
    forgetOldProcesses();
    for (const KindEvent &event : events.m_events) {
        if (event.m_removed)
            removeEndpoint(EndpointId(event.m_object.m_name));
        else
            applyEndpoint(event.m_object);
    }
    if (!events.m_events.empty())
        publishDirectory(events.m_position);
}

StoreFollower::StoreFollower(FiberThread &thread, KindStore &store, const RelaySource &source,
                             FollowerHooks hooks, bool followEvacuations)
    : m_state(std::make_shared<State>(thread, store, source, std::move(hooks), followEvacuations))
{ }

StoreFollower::~StoreFollower() = default;

void StoreFollower::start()
{
    m_state->m_startedAt = m_state->m_lastAnswer = Clock::now();
    spawnFiber([state = m_state] { state->followWatcherRole(); });
    spawnFiber([state = m_state] { state->proveRoutes(); });
}

void StoreFollower::mergePeerRoutes(const std::string &spec)
{
    m_state->applyRoutes(spec);
}

void StoreFollower::mergePeerDirectory(const EndpointDirectory &directory)
{
    const EndpointMap before = m_state->m_directory.m_endpoints;
    if (!mergeDirectory(m_state->m_directory, directory))
        return;
    logMerge(before, m_state->m_directory);
    m_state->noteDepartures(before);
    m_state->publishDirectory(m_state->m_directory.m_position);
}

void StoreFollower::mergePeerEvacuations(const Evacuations &evacuations)
{
    m_state->applyEvacuations(evacuations);
}

void StoreFollower::noteProofGap(Duration gap)
{
    if (gap > OutageGap)
        m_state->m_recoveredAt = Clock::now();
}

void StoreFollower::noteStoreRestored()
{
    m_state->m_recoveredAt = Clock::now();
    m_state->m_restoreGraceUntil = m_state->m_recoveredAt + RestoreGrace;
    if (m_state->m_watching)
        m_state->startWatches();
}

bool StoreFollower::reachesStore() const
{
    return m_state->m_unreachableAt == TimePoint{}
           || Clock::now() - m_state->m_unreachableAt > UnreachableAfterFailure;
}

} // namespace stackquay
