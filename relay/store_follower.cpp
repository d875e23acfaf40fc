#include "relay/store_follower.h"

#include <fmt/format.h>

namespace stackquay {

namespace {

/// A waiting watch is one call; a longer wait makes fewer, and a cut that is silent is noticed
/// later.
constexpr Millis WatchWait{ 8'000 };
/// Proofs older than this are renewed, plus up to the jitter, so that mostly one VM of the fleet
/// reads and the others hear of it.
constexpr Millis ProofAge{ 900 };
constexpr Millis ProofJitter{ 900 };
constexpr Millis ProofPoll{ 100 };
/// After failures; a store that is back has to be noticed within a second.
constexpr BackoffSettings Backoff{ Millis(100), Millis(800) };
/// After an outage, endpoints that the store lost are back within two seconds, if they live.
constexpr Millis ReturnGrace{ 2'000 };
/// Failures in a row for this long are an outage.
constexpr Millis OutageAfter{ 1'000 };

} // namespace

struct StoreFollower::State : std::enable_shared_from_this<StoreFollower::State> {
    State(FiberThread &thread, KindStore &store, const RelaySource &source, FollowerHooks hooks)
        : m_thread(thread)
        , m_store(store)
        , m_source(source)
        , m_hooks(std::move(hooks))
        , m_random(std::random_device{}())
    { }

    FiberThread &m_thread;
    KindStore &m_store;
    const RelaySource &m_source;
    FollowerHooks m_hooks;
    RandomEngine m_random;
    RouteTablePtr m_routes;
    std::string m_routesSpec; ///< As last decoded, so that an unchanged one is not decoded again.
    EndpointDirectory m_directory;
    std::unordered_map<EndpointId, TimePoint> m_removals; ///< Due at these times.
    TimePoint m_directoryHeard{};
    TimePoint m_failingSince{}; ///< First of the calls that failed in a row.
    TimePoint m_returnedAt{}; ///< End of the last outage.
    uint64_t m_generation = 1; ///< Watches of an earlier one end.

    bool takeRoutes(const std::string &spec);
    void startWatches();
    void watchRoutes(uint64_t generation);
    void proveRoutes();
    bool readRoutes();
    void watchEndpoints(uint64_t generation);
    bool listEndpoints(uint64_t &revision);
    void takeEndpoint(const KindObject &object);
    void takeEvent(const KindEvent &event);
    void removeEndpoint(const EndpointId &endpoint);
    void removeDue();
    void publishDirectory(uint64_t revision);
    void noteAlive();
    bool backOff(unsigned failures);
};

bool StoreFollower::State::backOff(unsigned failures)
{
    if (m_failingSince == TimePoint{})
        m_failingSince = Clock::now();
    return sleepFor(m_thread.context(), backoffDelay(Backoff, failures, m_random) + Millis(20));
}

/// To be called with each answer of the store, before what it says is taken: after an outage,
/// endpoints that it has lost are not gone yet, and watches that still wait may never be answered,
/// so that new ones take their place.
void StoreFollower::State::noteAlive()
{
    const TimePoint now = Clock::now();
    const bool outage = m_failingSince != TimePoint{} && now - m_failingSince > OutageAfter;
    m_failingSince = {};
    if (!outage)
        return;
    m_returnedAt = now;
    DecisionLine("store", "store regained").write();
    startWatches();
}

void StoreFollower::State::startWatches()
{
    const uint64_t generation = ++m_generation;
    spawnFiber([self = shared_from_this(), generation] { self->watchRoutes(generation); });
    spawnFiber([self = shared_from_this(), generation] { self->watchEndpoints(generation); });
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
    m_hooks.m_proof({ m_routes->m_version, begun });
    return true;
}

void StoreFollower::State::proveRoutes()
{
    unsigned failures = 0;
    std::uniform_int_distribution<Millis::rep> jitter(0, ProofJitter.count());
    Millis due = ProofAge + Millis(jitter(m_random));
    for (;;) {
        const FreshnessProof best = m_hooks.m_bestProof();
        const bool young = m_routes && best.m_version == m_routes->m_version
                           && Clock::now() - best.m_provedAt < due;
        if (young) {
            if (!sleepFor(m_thread.context(), ProofPoll))
                return;
            continue;
        }
        due = ProofAge + Millis(jitter(m_random));
        if (readRoutes()) {
            failures = 0;
            continue;
        }
        if (!backOff(failures++))
            return;
    }
}

void StoreFollower::State::watchRoutes(uint64_t generation)
{
    unsigned failures = 0;
    uint64_t revision = 0;
    while (generation == m_generation) {
        if (revision == 0) {
            const TimePoint begun = Clock::now();
            const auto page = m_store.list(m_source.m_routesKind);
            if (!page) {
                if (!backOff(failures++))
                    return;
                continue;
            }
            for (const KindObject &object : page->m_objects) {
                if (object.m_name == m_source.m_routesName && takeRoutes(object.m_spec))
                    m_hooks.m_proof({ m_routes->m_version, begun });
            }
            revision = page->m_revision;
        }
        const auto events = m_store.watch(m_source.m_routesKind, revision, WatchWait);
        if (generation != m_generation)
            return;
        if (!events) {
            if (events.error().m_code == ErrorCode::NotFound)
                revision = 0;
            if (!backOff(failures++))
                return;
            continue;
        }
        failures = 0;
        noteAlive();
        if (generation != m_generation)
            return;
        revision = events->m_revision;
        for (const KindEvent &event : events->m_events) {
            if (!event.m_removed && event.m_object.m_name == m_source.m_routesName)
                takeRoutes(event.m_object.m_spec);
        }
    }
}

void StoreFollower::State::takeEndpoint(const KindObject &object)
{
    auto endpoint = m_source.m_decodeEndpoint(object);
    if (!endpoint) {
        DecisionLine("store", "endpoint not understood")
            .text("endpoint", object.m_name)
            .text("error", endpoint.error().m_message)
            .write();
        return;
    }
    m_removals.erase(endpoint->m_id);
    EndpointRecord &known = m_directory.m_endpoints[endpoint->m_id];
    if (known == *endpoint)
        return;
    DecisionLine("store", "endpoint changed")
        .text("endpoint", endpoint->m_id.str())
        .text("service", endpoint->m_service.str())
        .text("address", endpoint->m_address)
        .flag("draining", endpoint->m_draining)
        .write();
    known = std::move(*endpoint);
}

void StoreFollower::State::removeEndpoint(const EndpointId &endpoint)
{
    const TimePoint now = Clock::now();
    if (m_returnedAt != TimePoint{} && now - m_returnedAt < ReturnGrace) {
        m_removals.emplace(endpoint, m_returnedAt + ReturnGrace);
        return;
    }
    if (m_directory.m_endpoints.erase(endpoint) > 0)
        DecisionLine("store", "endpoint gone").text("endpoint", endpoint.str()).write();
}

void StoreFollower::State::removeDue()
{
    const TimePoint now = Clock::now();
    std::vector<EndpointId> due;
    for (const auto &[endpoint, when] : m_removals) {
        if (when <= now)
            due.push_back(endpoint);
    }
    for (const EndpointId &endpoint : due) {
        m_removals.erase(endpoint);
        if (m_directory.m_endpoints.erase(endpoint) > 0)
            DecisionLine("store", "endpoint gone").text("endpoint", endpoint.str()).write();
    }
    if (!due.empty())
        publishDirectory(m_directory.m_revision);
}

void StoreFollower::State::takeEvent(const KindEvent &event)
{
    if (event.m_removed)
        removeEndpoint(EndpointId(event.m_object.m_name));
    else
        takeEndpoint(event.m_object);
}

void StoreFollower::State::publishDirectory(uint64_t revision)
{
    m_directory.m_revision = std::max(m_directory.m_revision, revision);
    m_hooks.m_directory(std::make_shared<const EndpointDirectory>(m_directory));
}

bool StoreFollower::State::listEndpoints(uint64_t &revision)
{
    const auto page = m_store.list(m_source.m_endpointsKind);
    if (!page)
        return false;
    noteAlive();
    m_directoryHeard = Clock::now();
    std::unordered_map<EndpointId, bool> listed;
    for (const KindObject &object : page->m_objects) {
        listed[EndpointId(object.m_name)] = true;
        takeEndpoint(object);
    }
    std::vector<EndpointId> missing;
    for (const auto &[id, endpoint] : m_directory.m_endpoints) {
        if (listed.count(id) == 0)
            missing.push_back(id);
    }
    for (const EndpointId &id : missing)
        removeEndpoint(id);
    revision = page->m_revision;
    publishDirectory(revision);
    return true;
}

void StoreFollower::State::watchEndpoints(uint64_t generation)
{
    unsigned failures = 0;
    uint64_t revision = 0;
    while (generation == m_generation) {
        if (revision == 0 && !listEndpoints(revision)) {
            if (!backOff(failures++))
                return;
            continue;
        }
        const auto events = m_store.watch(m_source.m_endpointsKind, revision, WatchWait);
        if (generation != m_generation)
            return;
        if (!events) {
            if (events.error().m_code == ErrorCode::NotFound)
                revision = 0;
            if (!backOff(failures++))
                return;
            continue;
        }
        failures = 0;
        noteAlive();
        if (generation != m_generation)
            return;
        m_directoryHeard = Clock::now();
        revision = events->m_revision;
        for (const KindEvent &event : events->m_events)
            takeEvent(event);
        if (!events->m_events.empty())
            publishDirectory(revision);
    }
}

StoreFollower::StoreFollower(FiberThread &thread, KindStore &store, const RelaySource &source,
                             FollowerHooks hooks)
    : m_state(std::make_shared<State>(thread, store, source, std::move(hooks)))
{ }

StoreFollower::~StoreFollower() = default;

void StoreFollower::start()
{
    m_state->startWatches();
    spawnFiber([state = m_state] { state->proveRoutes(); });
    spawnFiber([state = m_state] {
        do {
            state->removeDue();
        } while (sleepFor(state->m_thread.context(), ProofPoll));
    });
}

void StoreFollower::offerRoutes(const std::string &spec)
{
    m_state->takeRoutes(spec);
}

void StoreFollower::offerDirectory(const EndpointDirectory &directory)
{
    if (directory.m_revision <= m_state->m_directory.m_revision)
        return;
    m_state->m_directory = directory;
    m_state->publishDirectory(directory.m_revision);
}

TimePoint StoreFollower::directoryHeard() const
{
    return m_state->m_directoryHeard;
}

} // namespace stackquay
