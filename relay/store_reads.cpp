// The reads of a StoreFollower by policy/read_schedule.h.

#include <algorithm>

#include "relay/store_follower_state.h"

namespace stackquay {

namespace {

/// Of a watch that returns what has changed so far, and does not wait.
constexpr Millis NoWatchTimeout{ 1 };
/// A new VM receives the configuration from its peers, if it has any, within this time.
constexpr Millis FirstReadAfter{ 1'500 };

} // namespace

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

/// Routes whose successor is known to exist keep the proof that they had.
void StoreFollower::State::updateRoutesProof()
{
    if (!m_routes)
        return;
    const FreshnessProof proof = proofFor(m_routes->m_version, m_hooks.m_bestProof());
    if (proof.known())
        m_routesProvedAt = proof.m_provedAt;
}

Duration StoreFollower::State::jittered(Duration age, Duration jitter) const
{
    return age + std::chrono::duration_cast<Duration>(jitter * m_readJitter);
}

/// False while a store watcher still lists the objects, and for a VM that starts beside others: it
/// receives the directory from them.
bool StoreFollower::State::canProveDirectory()
{
    if (!m_watching)
        return m_directoryProvedAt != TimePoint{};
    const std::vector<WatchedKind *> kinds = directoryKinds();
    return std::all_of(kinds.begin(), kinds.end(),
                       [](const WatchedKind *kind) { return kind->m_through.known(); });
}

/// How long until this VM has to read the store, if it learns nothing before; not positive: now.
Duration StoreFollower::State::untilRead(TimePoint now)
{
    // A store watcher whose calls fail reads in any case, because its watches wait for a success.
    if (m_watching && m_failingSince != TimePoint{})
        return Duration::zero();
    if (!m_routes && !m_watching && now - m_startedAt < FirstReadAfter)
        return Poll;
    updateRoutesProof();
    const ReadSchedule schedule = readSchedule(m_hooks.m_knowledgeBound());
    const TimePoint oldest =
        canProveDirectory() ? std::min(m_routesProvedAt, m_directoryProvedAt) : m_routesProvedAt;
    if (m_watching) {
        const Duration age = jittered(schedule.m_watcherAge, schedule.m_watcherJitter);
        return std::max(oldest + age, m_readAt + EndpointsBatchDelay) - now;
    }
    if (now - oldest < schedule.m_firstTurnAge)
        return oldest + schedule.m_firstTurnAge - now;
    const unsigned turn = m_hooks.m_readTurn();
    if (turn < ReadTurns)
        return oldest + turnAge(schedule, turn) - now;
    return m_routesProvedAt + jittered(schedule.m_othersAge, schedule.m_othersJitter) - now;
}

void StoreFollower::State::logOwnRead(TimePoint now)
{
    const auto ageOf = [now](TimePoint provedAt) {
        return std::chrono::duration_cast<Millis>(now - provedAt).count();
    };
    DecisionLine("store", "reads the store itself")
        .number("routes_age_ms", ageOf(m_routesProvedAt))
        .number("directory_age_ms", ageOf(m_directoryProvedAt))
        .number("turn", m_hooks.m_readTurn())
        .write();
}

/// Reads the store each time that the latest proof has reached the age set by the schedule.
void StoreFollower::State::keepCurrent()
{
    unsigned failures = 0;
    for (;;) {
        const TimePoint now = Clock::now();
        const Duration left = untilRead(now);
        if (left > Duration::zero()) {
            // The proof, the role and the turn may change meanwhile.
            if (!sleepFor(m_thread.context(), std::min<Duration>(left, Poll)))
                return;
            continue;
        }
        m_readJitter = std::uniform_real_distribution<>(0, 1)(m_random);
        if (!m_watching && m_routes)
            logOwnRead(now);
        if (readStore())
            failures = 0;
        else if (!backOff(failures++))
            return;
    }
}

/// Renews the older proof of this VM, or both.
bool StoreFollower::State::readStore()
{
    m_readAt = Clock::now();
    if (!canProveDirectory() || m_directoryProvedAt > m_routesProvedAt)
        return readRoutes();
    return m_routesPages > 1 ? readEachKind() : readByList();
}

/// A list of the routes costs as much as a read of their object, and returns the store's revision
/// too: if it is the one of the directory, that is proved as well.
bool StoreFollower::State::readByList()
{
    const TimePoint begun = Clock::now();
    const auto page = m_store.list(m_source.m_routesKind);
    // Another writer's objects may make the list unreadable.
    if (!page)
        return page.error().m_code == ErrorCode::ProtocolError && readRoutes();
    noteAnswer();
    const std::vector<WatchedKind *> behind = kindsBehind(page->m_position, begun);
    if (!applyListedRoutes(*page, begun))
        return false;
    if (behind.empty())
        return true;
    if (m_watching && !sleepFor(m_thread.context(), WatchDelay))
        return false;
    return catchUp(behind, page->m_position);
}

/// Takes two calls, which is less than a list of several pages: other writers may keep objects of
/// the same kind as the routes.
bool StoreFollower::State::readEachKind()
{
    const TimePoint begun = Clock::now();
    if (!readRoutes() || !catchUp(m_endpointsKind))
        return false;
    // Its watch is between two calls, or was started again, so nothing was asked.
    if (m_endpointsKind.m_provedAt < begun)
        return true;
    const StorePosition position = m_endpointsKind.m_through;
    return catchUp(kindsBehind(position, begun), position);
}

/// Catches up with those of @p behind that have not reached @p position meanwhile.
bool StoreFollower::State::catchUp(const std::vector<WatchedKind *> &behind,
                                   const StorePosition &position)
{
    bool current = true;
    for (WatchedKind *kind : behind) {
        if (appliedThrough(*kind) < position)
            current = catchUp(*kind) && current;
    }
    m_hooks.m_onDirectoryProof();
    return current;
}

/// The watched kinds of which changes up to @p position may be unknown. The others are proved at
/// @p at, the time at which the call that returned @p position began.
std::vector<StoreFollower::State::WatchedKind *>
StoreFollower::State::kindsBehind(const StorePosition &position, TimePoint at)
{
    std::vector<WatchedKind *> behind;
    for (WatchedKind *kind : directoryKinds()) {
        if (appliedThrough(*kind) < position)
            behind.push_back(kind);
        else
            kind->m_provedAt = std::max(kind->m_provedAt, at);
    }
    proveDirectory();
    return behind;
}

/// A peer's directory may contain later changes than this VM has read itself.
StorePosition StoreFollower::State::appliedThrough(const WatchedKind &kind) const
{
    if (&kind == &m_endpointsKind)
        return m_directory.isConfirmed() ? std::max(kind.m_through, m_directory.m_position)
                                         : kind.m_through;
    return std::max(kind.m_through, m_evacuations.m_position);
}

/// Reads the changes of @p kind that its watch has not delivered.
bool StoreFollower::State::catchUp(WatchedKind &kind)
{
    const bool isListed = !m_watching || kind.m_through.known();
    const bool isPaused = m_watching && Clock::now() < kind.m_pausedUntil;
    if (!isListed || isPaused)
        return true;
    kind.m_through = appliedThrough(kind);
    const uint64_t generation = kind.m_generation;
    const TimePoint begun = Clock::now();
    const auto events = kind.m_through.known()
                            ? m_store.watch(kind.m_kind, kind.m_through, NoWatchTimeout)
                            : Result<KindEvents>(makeError(ErrorCode::NotFound, "not listed yet"));
    if (generation != kind.m_generation)
        return true;
    if (events) {
        noteAnswer();
        const bool missed = !events->m_events.empty() && kind.m_through < events->m_position;
        applyWatched(kind, *events, begun, NoWatchTimeout);
        if (missed && m_watching) {
            DecisionLine("store", "watch delivered no change").text("kind", kind.m_kind).write();
            startWatch(kind);
        }
        return true;
    }
    // Events that cannot be read, or are gone, are replaced by a list.
    if (events.error().m_code != ErrorCode::NotFound
        && events.error().m_code != ErrorCode::ProtocolError)
        return false;
    const TimePoint listBegun = Clock::now();
    StorePosition listed;
    if (!(this->*kind.m_list)(listed))
        return false;
    kind.m_through = std::max(kind.m_through, listed);
    kind.m_provedAt = std::max(kind.m_provedAt, listBegun);
    proveDirectory();
    return true;
}

/// Derives the proof of the directory from those of its kinds.
void StoreFollower::State::proveDirectory()
{
    TimePoint oldest = TimePoint::max();
    for (const WatchedKind *kind : directoryKinds())
        oldest = std::min(oldest, kind->m_provedAt);
    m_directoryProvedAt = std::max(m_directoryProvedAt, oldest);
}

} // namespace stackquay
