#include "relay/store_follower_state.h"

#include <algorithm>
#include <tuple>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// A waiting watch is one call: a longer timeout needs fewer calls. The reads of ReadSchedule find
/// what a dead connection does not deliver.
constexpr Millis EndpointsWatchTimeout{ 3'500 };
constexpr Millis RoutesWatchTimeout{ 20'000 };
constexpr Millis EvacuationsWatchTimeout{ 20'000 };
/// A poll that is late by this much means that the VM was suspended; under load it is late by about
/// 100 ms.
constexpr Millis SuspensionThreshold{ 1'000 };
/// After failures; a recovered store must be noticed within a second.
constexpr BackoffSettings WatcherBackoff{ Millis(100), Millis(800) };
/// Longer for the many other VMs: a store watcher notices the recovery first and informs them.
constexpr BackoffSettings NonWatcherBackoff{ Millis(500), Millis(4'000) };
/// A failed watch retries after this time even if no other call has reached the store.
constexpr Millis MaxAnswerWait{ 2'000 };
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

StoreFollower::State::State(FiberThread &thread, KindStore &store, const RelaySource &source,
                            FollowerHooks hooks, bool followEvacuations)
    : m_followEvacuations(followEvacuations)
    , m_thread(thread)
    , m_store(store)
    , m_source(source)
    , m_hooks(std::move(hooks))
    , m_random(std::random_device{}())
    , m_routesKind{ source.m_routesKind, RoutesWatchTimeout, Millis(0), &State::listRoutes,
                    &State::applyRouteEvents }
    , m_endpointsKind{ source.m_endpointsKind, EndpointsWatchTimeout, EndpointsBatchDelay,
                       &State::listEndpoints, &State::applyEndpointEvents }
    , m_evacuationsKind{ source.m_evacuationsKind, EvacuationsWatchTimeout, Millis(0),
                         &State::listEvacuations, &State::applyEvacuationEvents }
{ }

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

/// While the store does not answer, only keepCurrent() calls it and the watches wait for its
/// success, so that an outage causes a third of the calls. Returns false if the thread stops.
bool StoreFollower::State::awaitAnswer(const WatchedKind &kind, uint64_t generation)
{
    const TimePoint until = Clock::now() + MaxAnswerWait;
    while (generation == kind.m_generation && m_failingSince != TimePoint{}
           && Clock::now() < until) {
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
                for (WatchedKind *kind : { &m_routesKind, &m_endpointsKind, &m_evacuationsKind })
                    ++kind->m_generation;
                m_failingSince = {};
            }
        }
        expireUnconfirmed();
        endRestoreGrace();
    } while (sleepFor(m_thread.context(), Poll));
}

/// The kinds of objects besides the routes.
std::vector<StoreFollower::State::WatchedKind *> StoreFollower::State::directoryKinds()
{
    if (m_followEvacuations)
        return { &m_endpointsKind, &m_evacuationsKind };
    return { &m_endpointsKind };
}

void StoreFollower::State::startWatches()
{
    std::vector<WatchedKind *> kinds = directoryKinds();
    kinds.push_back(&m_routesKind);
    for (WatchedKind *kind : kinds) {
        kind->m_through = {};
        startWatch(*kind);
    }
}

void StoreFollower::State::startWatch(WatchedKind &kind)
{
    const uint64_t generation = ++kind.m_generation;
    spawnFiber([self = shared_from_this(), &kind, generation] { self->watch(kind, generation); });
}

/// Lists if necessary, then watches from that position, until a later generation starts.
void StoreFollower::State::watch(WatchedKind &kind, uint64_t generation)
{
    unsigned failures = 0;
    while (generation == kind.m_generation) {
        const TimePoint begun = Clock::now();
        if (!kind.m_through.known()) {
            StorePosition position;
            if (!(this->*kind.m_list)(position)) {
                if (!backOff(failures++) || !awaitAnswer(kind, generation))
                    return;
                continue;
            }
            if (generation != kind.m_generation)
                return;
            kind.m_through = position;
            kind.m_provedAt = begun;
            proveDirectory();
        }
        const TimePoint watchBegun = Clock::now();
        const auto events = m_store.watch(kind.m_kind, kind.m_through, kind.m_watchTimeout);
        if (generation != kind.m_generation)
            return;
        if (!events) {
            const bool historyGone = events.error().m_code == ErrorCode::NotFound;
            const bool unreadable = events.error().m_code == ErrorCode::ProtocolError;
            if (unreadable && failures == 0)
                DecisionLine("store", "watch not understood")
                    .text("kind", kind.m_kind)
                    .number("revision", static_cast<int64_t>(kind.m_through.m_revision))
                    .text("error", events.error().m_message)
                    .write();
            // The same events would come again from the same position.
            if (historyGone || unreadable)
                kind.m_through = {};
            if (historyGone ? !pause(failures++)
                            : !backOff(failures++) || !awaitAnswer(kind, generation))
                return;
            continue;
        }
        failures = 0;
        noteAnswer();
        if (generation != kind.m_generation)
            return;
        applyWatched(kind, *events, watchBegun, kind.m_watchTimeout);
        if (events->m_events.empty())
            continue;
        kind.m_pausedUntil = Clock::now() + kind.m_batchDelay;
        if (!sleepFor(m_thread.context(), kind.m_batchDelay))
            return;
    }
}

/// Applies the response to a watch from @p kind's position that began at @p begun and could wait
/// for @p wait. A response that another one has overtaken is ignored: its events may be older than
/// what is known.
void StoreFollower::State::applyWatched(WatchedKind &kind, const KindEvents &events,
                                        TimePoint begun, Millis wait)
{
    if (events.m_position < kind.m_through)
        return;
    kind.m_through = events.m_position;
    // A watch returns as soon as there is a change, so there was none while it waited.
    const bool waited = events.m_events.empty() && Clock::now() - begun >= wait;
    kind.m_provedAt = std::max(kind.m_provedAt, waited ? begun + wait : begun);
    (this->*kind.m_apply)(events);
    proveDirectory();
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

/// Applies the routes in a list that was called at @p begun. False if it lacks them, or they cannot
/// be decoded.
bool StoreFollower::State::applyListedRoutes(const KindPage &page, TimePoint begun)
{
    m_routesPages = page.m_pages;
    const auto listed = std::find_if(
        page.m_objects.begin(), page.m_objects.end(),
        [this](const KindObject &object) { return object.m_name == m_source.m_routesName; });
    if (listed == page.m_objects.end() || !applyRoutes(listed->m_spec))
        return false;
    m_hooks.m_onProof({ m_routes->m_version, begun, page.m_position.m_era });
    return true;
}

bool StoreFollower::State::listRoutes(StorePosition &position)
{
    const TimePoint begun = Clock::now();
    const auto page = m_store.list(m_source.m_routesKind);
    if (!page)
        return false;
    noteAnswer();
    std::ignore = applyListedRoutes(*page, begun);
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
    spawnFiber([state = m_state] { state->keepCurrent(); });
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

std::optional<TimePoint> StoreFollower::directoryProvedAt() const
{
    if (m_state->m_directoryProvedAt == TimePoint{})
        return std::nullopt;
    return m_state->m_directoryProvedAt;
}

void StoreFollower::mergePeerDirectoryProof(const DirectoryProof &proof)
{
    if (covers(m_state->m_directory, m_state->m_evacuations, proof))
        m_state->m_directoryProvedAt = std::max(m_state->m_directoryProvedAt, proof.m_provedAt);
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
