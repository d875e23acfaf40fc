#include "relay/relay_node.h"

#include <algorithm>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// Of an endpoint's answer to a probe.
constexpr size_t MaxReportBytes = 64 * 1024;

/// Idle connections kept per endpoint.
constexpr size_t IdleConnections = 8;
/// A VM that started within this time has not yet received all that the other VMs have in flight,
/// because streams last longer.
constexpr Millis LoadLearningTime{ 1'500 };
/// Rate at which state is sent to VMs that start at the same time, so that a VM with much in flight
/// keeps most of its link for requests.
constexpr double StateBytesPerSecond = 400'000;
/// Leaves room for new VMs: the slack is divided by the known number of VMs times this.
constexpr double SharerMargin = 1.5;

LoadMessage waitingMessage(const LoadKey &key, uint32_t gapLimitMs, const QueuedRequest &queued,
                           TimePoint now)
{
    LoadMessage message{ LoadEvent::Waiting, key };
    message.m_gapLimitMs = gapLimitMs;
    message.m_expiresMs = messageMillis(queued.m_latestStart - now);
    message.m_orderMs =
        static_cast<int32_t>(std::chrono::duration_cast<Millis>(queued.m_order - now).count());
    message.m_workMs = static_cast<uint32_t>(queued.m_workMs);
    return message;
}

void noteEjection(RelayMetrics &metrics, const EndpointId &endpoint, std::string_view why)
{
    metrics.m_ejections.add();
    DecisionLine("relay", "endpoint ejected")
        .text("endpoint", endpoint.str())
        .text("why", why)
        .write();
}

} // namespace

RelayNode::RelayNode(FiberThread &thread, RelaySettings settings, const RelayCodec &codec)
    : m_settings(std::move(settings))
    , m_dialect(codec)
    , m_thread(thread)
    , m_random(std::random_device{}())
    , m_origin(m_random())
    // Without probes: a request that waits at an endpoint has its own timeouts, and may outlast a
    // pause of the endpoint's machine.
    , m_pool(thread.context(), IdleConnections, { silenceTimeout(m_settings.m_bounds), false })
    , m_loads(thread, m_origin, [this](const LoadMessage &message) { receive(message); })
    , m_suspects(thread, suspectHooks())
    , m_parts(thread, partHooks())
    , m_limiter([this](const LoadMessage &message) { m_loads.send(message); },
                [this] { return nextKey(); })
    , m_retryBroker(thread, m_origin, m_loads, [this] { return nextKey(); })
{
    m_view.store(std::make_shared<const RelayView>());
}

CrashBroadcast RelayNode::crashBroadcast()
{
    CrashBroadcast fleet;
    fleet.m_cell = [this] { return m_view.load()->m_cell; };
    fleet.m_watchesStore = [this] { return m_watchesStore; };
    fleet.m_sendToCell = [this](const LoadMessage &message) { m_loads.send(message); };
    fleet.m_sendToOtherCells = [this](const LoadMessage &message) {
        m_loads.sendToContacts(message);
    };
    return fleet;
}

PartHooks RelayNode::partHooks()
{
    PartHooks hooks;
    hooks.m_fleet = crashBroadcast();
    hooks.m_isAnswered = [this](uint64_t part) {
        return std::any_of(m_runs.begin(), m_runs.end(),
                           [part](RelayRun *run) { return run->hasAnswerOn(part); });
    };
    hooks.m_refusesMore = [this] {
        m_metrics.m_quarantinedParts.add();
        for (RelayRun *run : m_runs)
            run->abandonIfQuarantined();
    };
    hooks.m_changed = [this](const std::vector<PartReport> &quarantined, bool store) {
        m_suspects.excuse(m_parts.table().m_explained);
        if (m_partsChanged)
            m_partsChanged(quarantined, store);
    };
    hooks.m_released = [this](const std::vector<PartReport> &released) {
        if (m_partsReleased)
            m_partsReleased(released);
    };
    return hooks;
}

bool RelayNode::noteExit(const BrokenAttempt &attempt, const EndpointRecord &endpoint)
{
    const uint64_t process = processKey(endpoint.m_id, endpoint.m_startedMs);
    // An engine crashes as it begins to write the answer, which the first one of a gang does.
    if (!attempt.m_answered && endpoint.m_id == attempt.m_endpoints.front().m_id)
        m_parts.noteCrash(attempt.m_parts, process, attempt.m_fingerprint, attempt.m_at);
    return m_parts.table().m_explained.count(process) == 0;
}

SuspectHooks RelayNode::suspectHooks()
{
    SuspectHooks hooks;
    hooks.m_mayProbe = [this](const SuspectTable &table, const Fingerprint &fingerprint) {
        const RelayViewPtr view = m_view.load();
        return mayProbeSuspect(table, fingerprint, m_settings.m_vm, view->m_peers, view->m_cell,
                               Clock::now());
    };
    hooks.m_reachesOthers = [this](const EndpointRecord &endpoint) {
        return m_path.reachesOthers(endpoint);
    };
    hooks.m_isGone = [this](const EndpointRecord &endpoint) {
        const EndpointDirectoryPtr directory = m_view.load()->m_directory;
        if (!directory)
            return false;
        const auto listed = directory->m_endpoints.find(endpoint.m_id);
        return listed == directory->m_endpoints.end()
               || listed->second.m_startedMs > endpoint.m_startedMs;
    };
    hooks.m_fleet = crashBroadcast();
    hooks.m_exited = [this](const BrokenAttempt &attempt, const EndpointRecord &endpoint) {
        return noteExit(attempt, endpoint);
    };
    hooks.m_quarantined = [this](const std::vector<SuspectReport> &quarantined, bool observed) {
        m_metrics.m_quarantined.add();
        if (m_quarantined)
            m_quarantined(quarantined, observed);
    };
    hooks.m_cleared = [this](const SuspectReport &cleared,
                             const std::vector<SuspectReport> &remaining, bool observed) {
        if (m_quarantineCleared)
            m_quarantineCleared(cleared, remaining, observed);
    };
    return hooks;
}

LoadMessage RelayNode::placedMessage(const LoadKey &key, const AttemptLoad &load,
                                     TimePoint now) const
{
    LoadMessage message{ LoadEvent::Placed, key };
    message.m_parts = load.m_parts;
    message.m_gapLimitMs = load.m_gapLimitMs;
    message.m_expiresMs = messageMillis(load.m_expiresAt - now);
    message.m_ageMs = messageMillis(now - load.m_placedAt);
    message.m_writing = load.m_decoding;
    if (const auto suspect = m_suspects.suspectOf(key))
        message.m_fingerprints = { *suspect };
    return message;
}

DispatchQueue &RelayNode::queueOf(uint32_t gapLimitMs)
{
    return isStrictGap(gapLimitMs) ? m_strictQueue : m_longQueue;
}

bool RelayNode::removeFromQueues(const LoadKey &key)
{
    return m_strictQueue.erase(key) + m_longQueue.erase(key) > 0;
}

void RelayNode::announceWaiting(const LoadKey &key, uint32_t gapLimitMs,
                                const QueuedRequest &queued, Duration turn)
{
    const TimePoint now = Clock::now();
    LoadMessage message = waitingMessage(key, gapLimitMs, queued, now);
    message.m_turnMs = messageMillis(turn);
    m_loads.announce(message);
    m_turnMonitor.noteWaiting(message, now);
    queueOf(gapLimitMs)[key] = queued;
}

void RelayNode::place(const LoadKey &key, std::vector<LoadPart> parts, uint32_t gapLimitMs,
                      Duration lifetime, const std::optional<Fingerprint> &suspect,
                      uint64_t customer)
{
    const TimePoint now = Clock::now();
    AttemptLoad load{ std::move(parts), gapLimitMs, false, now, now + lifetime };
    if (suspect)
        m_suspects.beginSuspectAttempt(*suspect, key, lifetime);
    LoadMessage message = placedMessage(key, load, now);
    message.m_customer = customer;
    m_loads.announce(message);
    recordUsage(message, now);
    removeFromQueues(key);
    m_turnMonitor.notePlaced(key, now);
    m_ledger.place(key, std::move(load));
}

void RelayNode::recordFirstEvent(const LoadKey &key)
{
    m_ledger.recordFirstEvent(key);
    m_loads.announce(LoadMessage{ LoadEvent::FirstEvent, key });
}

void RelayNode::end(const LoadKey &key)
{
    m_suspects.endSuspectAttempt(key);
    const bool placed = m_ledger.end(key);
    const bool waited = removeFromQueues(key);
    m_turnMonitor.noteEnded(key, Clock::now());
    if (placed || waited)
        m_loads.announce(LoadMessage{ LoadEvent::Ended, key });
}

std::unordered_set<EndpointId> RelayNode::strictSide(const ServiceId &service,
                                                     const EngineCosts &costs,
                                                     const std::vector<EndpointRecord> &pool,
                                                     const EndpointUses &uses)
{
    const TimePoint now = Clock::now();
    if (m_readySince == TimePoint{})
        m_readySince = now;
    StrictDemand demand = strictDemandOf(costs, m_strictQueue, m_ledger, now);
    demand.m_peerLoadUnknown = now - m_readySince < LoadLearningTime;
    return strictEngines(m_splits[service], pool, uses, demand, now);
}

SideLoad RelayNode::sideLoad(const DeclaredService &service,
                             const std::vector<EndpointRecord> &pool,
                             const std::unordered_set<EndpointId> &strictSide,
                             const EndpointUses &uses, bool strict)
{
    const EngineCosts &costs = *service.m_engine;
    SideLoad load =
        sideLoadOf(costs, pool, strictSide, uses, m_ledger.activeLongPrefills(), strict);
    const StrictDemand demand = strictDemandOf(costs, m_strictQueue, m_ledger, Clock::now());
    const size_t expectedStrict =
        expectedStrictEngines(m_splits[service.m_id].m_settings, demand, pool.size());
    load.m_expectedEngines = strict ? expectedStrict : pool.size() - expectedStrict;
    load.m_passPrefill = passPrefill(service);
    return load;
}

FloatMillis RelayNode::passPrefill(const DeclaredService &service) const
{
    return maxPassPrefill(m_gang.m_candidates, *service.m_engine, service.m_longestGapLimit);
}

void RelayNode::forgetProcess(uint64_t origin)
{
    m_ledger.forgetOrigin(origin);
    m_loads.forgetProcess(origin);
    for (DispatchQueue *queue : { &m_strictQueue, &m_longQueue }) {
        std::erase_if(*queue,
                      [origin](const auto &entry) { return entry.first.m_origin == origin; });
    }
}

void RelayNode::forgetRestarted(const std::vector<EndpointRecord> &restarted)
{
    for (const EndpointRecord &endpoint : restarted) {
        m_ledger.forgetEndpoint(endpoint.m_id);
        recordSuccess(m_ejections, endpoint.m_id);
        forgetActivity(m_activity, endpoint.m_id);
        m_limiter.forget(endpoint.m_id);
        const auto address = parseAddress(endpoint.m_address);
        if (address)
            m_pool.forget(*address);
        DecisionLine("relay", "endpoint restarted")
            .text("endpoint", endpoint.m_id.str())
            .number("started_ms", static_cast<int64_t>(endpoint.m_startedMs))
            .write();
    }
}

bool RelayNode::isCurrentProcess(const EndpointRecord &endpoint) const
{
    const RelayViewPtr view = m_view.load();
    if (!view->m_directory)
        return true;
    return !isEarlierProcess(*view->m_directory, endpoint);
}

bool RelayNode::acceptsWork(const EndpointRecord &endpoint) const
{
    const RelayViewPtr view = m_view.load();
    if (!view->m_directory)
        return true;
    const auto &endpoints = view->m_directory->m_endpoints;
    const auto found = endpoints.find(endpoint.m_id);
    return found != endpoints.end() && !found->second.m_draining
           && !view->m_evacuations.contains(endpoint.m_dataCentre)
           && !isEarlierProcess(*view->m_directory, endpoint);
}

std::vector<LoadMessage> RelayNode::ownLoads(TimePoint now) const
{
    std::vector<LoadMessage> messages;
    for (const auto &[key, load] : m_ledger.loads()) {
        if (key.m_origin == m_origin && load.m_expiresAt > now)
            messages.push_back(placedMessage(key, load, now));
    }
    // If there are too many for one peer, the longest-lived ones are sent.
    std::sort(messages.begin(), messages.end(),
              [](const LoadMessage &left, const LoadMessage &right) {
                  return left.m_expiresMs > right.m_expiresMs;
              });
    return messages;
}

std::vector<LoadMessage> RelayNode::ownTurns(TimePoint now) const
{
    std::vector<LoadMessage> messages;
    const auto add = [&](const DispatchQueue &queue, uint32_t gapLimitMs) {
        for (const auto &[key, queued] : queue) {
            if (key.m_origin == m_origin && queued.m_latestStart > now)
                messages.push_back(waitingMessage(key, gapLimitMs, queued, now));
        }
    };
    add(m_strictQueue, StrictGapMs);
    add(m_longQueue, 0);
    return messages;
}

void RelayNode::sendState(const Address &peer)
{
    if (std::find(m_stateReceivers.begin(), m_stateReceivers.end(), peer) == m_stateReceivers.end())
        m_stateReceivers.push_back(peer);
    if (std::exchange(m_sendingState, true))
        return;
    spawnFiber([this] {
        bool waited = true;
        while (waited && !m_stateReceivers.empty()) {
            const uint64_t before = threadTraffic().m_sent;
            sendStateTo(m_stateReceivers.front());
            m_stateReceivers.pop_front();
            const double bytes = static_cast<double>(threadTraffic().m_sent - before);
            const std::chrono::duration<double> time(bytes / StateBytesPerSecond);
            waited = sleepFor(m_thread.context(), std::chrono::duration_cast<Duration>(time));
        }
        m_sendingState = false;
    });
}

void RelayNode::sendStateTo(const Address &peer)
{
    const TimePoint now = Clock::now();
    std::vector<LoadMessage> messages = ownLoads(now);
    const std::vector<LoadMessage> turns = ownTurns(now);
    messages.insert(messages.end(), turns.begin(), turns.end());
    if (!messages.empty())
        m_loads.sendAll(peer, messages);
    const std::vector<LoadMessage> limits = m_limiter.messages();
    if (!limits.empty())
        m_loads.sendAll(peer, limits);
    const std::vector<LoadMessage> places = m_turnMonitor.placeMessages(now);
    if (!places.empty())
        m_loads.sendAll(peer, places);
    for (const auto &suspects : { m_suspects.allSuspects(), m_parts.allSuspects() }) {
        if (!suspects.empty())
            m_loads.sendAll(peer, suspects);
    }
}

Result<HttpResponse> RelayNode::probe(const EndpointRecord &endpoint, bool engine, Duration timeout)
{
    const auto address = parseAddress(endpoint.m_address);
    if (!address)
        return tl::unexpected(address.error());
    if (!engine) {
        HttpConnection connection(m_thread.context());
        const Status connected = connection.connect(*address, timeout);
        if (!connected)
            return tl::unexpected(connected.error());
        return HttpResponse{};
    }
    HttpCallOptions options;
    options.m_timeout = timeout;
    options.m_bodyLimit = MaxReportBytes;
    constexpr bool OnNewConnection = false;
    auto answer = m_pool.call(*address, m_dialect.m_probe(endpoint.m_id), options, OnNewConnection);
    if (answer)
        noteAnswer(endpoint, m_dialect.m_readResponseHead(*answer));
    return answer;
}

void RelayNode::noteAnswer(const EndpointRecord &endpoint, const ResponseHead &head)
{
    if (!head.m_misdirected)
        m_limiter.noteBackoff(endpoint, head.m_retryAfter, head.m_leaving, *m_view.load());
}

void RelayNode::noteFailure(const EndpointId &endpoint, FailureWeight weight, std::string_view why)
{
    // Interrupted waits during the shutdown of this process are no failures of endpoints, and
    // neither is what a VM sees that reaches none of them.
    if (m_stopping || m_path.isIsolated()
        || !recordFailure(m_ejections, endpoint, weight, Clock::now()))
        return;
    if (weight == FailureWeight::Strong) {
        LoadMessage message{ LoadEvent::Ejected, nextKey() };
        message.m_parts = { { endpoint, 0, 0 } };
        message.m_dataCentre = m_settings.m_dataCentre;
        m_path.reportOnceReached([this, message] { m_loads.send(message); });
    }
    noteEjection(m_metrics, endpoint, why);
}

void RelayNode::reportBrokenResponse(const EndpointId &endpoint)
{
    m_path.reportOnceReached([this, endpoint] {
        LoadMessage message{ LoadEvent::BrokenOff, nextKey() };
        message.m_parts = { { endpoint, 0, 0 } };
        m_loads.send(message);
        recordBrokenResponse(endpoint, m_origin);
    });
}

void RelayNode::recordBrokenResponse(const EndpointId &endpoint, uint64_t vm)
{
    size_t endpoints = 0;
    for (const auto &[service, pool] : m_view.load()->m_pools)
        endpoints += pool.size();
    if (m_stopping || !recordPeerFailure(m_ejections, endpoint, endpoints, vm, Clock::now()))
        return;
    noteEjection(m_metrics, endpoint, "it broke off answers to several VMs");
}

void RelayNode::recordResponse(const LoadKey &key)
{
    const auto load = m_ledger.loads().find(key);
    if (load == m_ledger.loads().end() || load->second.m_parts.empty())
        return;
    const EndpointId &endpoint = load->second.m_parts.front().m_endpoint;
    recordPeerSuccess(m_ejections, endpoint);
    noteAlive(m_activity, endpoint, Clock::now());
}

void RelayNode::setRetryBounds(const RelayView &view)
{
    RetryWindowSettings settings;
    settings.m_ratio = view.m_bounds.m_retryRatio;
    settings.m_slack = view.m_bounds.m_retrySlack;
    settings.m_window = view.m_bounds.m_retryWindow;
    settings.m_maxSharingVms = static_cast<uint32_t>(view.m_vms * SharerMargin) + 1;
    m_retryBroker.setSettings(settings);
}

void RelayNode::setRetryHolders(const std::vector<RetryHolder> &holders)
{
    setRetryBounds(*m_view.load());
    m_retryBroker.setHolders(holders);
}

void RelayNode::countArrival(const ServiceId &service, TimePoint now)
{
    setRetryBounds(*m_view.load());
    m_retryBroker.countArrival(service, now);
}

bool RelayNode::mayRetry(const ServiceId &service, const RelayView &view, RetryPurpose purpose)
{
    setRetryBounds(view);
    return m_retryBroker.hasBudget(service, purpose);
}

bool RelayNode::spendRetryBudget(const ServiceId &service, const RelayView &view,
                                 RetryPurpose purpose)
{
    setRetryBounds(view);
    const bool taken = m_retryBroker.spend(service, purpose);
    (taken ? m_metrics.m_repeats : m_metrics.m_repeatsRefused).add();
    return taken;
}

void RelayNode::recordUsage(const LoadMessage &placed, TimePoint now)
{
    if (placed.m_customer == 0)
        return;
    for (const LoadPart &part : placed.m_parts)
        m_usage.record(placed.m_customer, part.m_prefillMs, now - Millis(placed.m_ageMs));
}

void RelayNode::recordPlacement(const LoadMessage &message, TimePoint now)
{
    AttemptLoad load{ message.m_parts, message.m_gapLimitMs, message.m_writing,
                      now - Millis(message.m_ageMs), now + Millis(message.m_expiresMs) };
    recordUsage(message, now);
    m_turnMonitor.notePlaced(message.m_key, now);
    m_ledger.place(message.m_key, std::move(load));
}

void RelayNode::receive(const LoadMessage &message)
{
    const TimePoint now = Clock::now();
    switch (message.m_change) {
    case LoadEvent::Waiting:
        queueOf(message.m_gapLimitMs)[message.m_key] = { now + Millis(message.m_expiresMs),
                                                         now + Millis(message.m_orderMs),
                                                         static_cast<double>(message.m_workMs) };
        m_turnMonitor.noteWaiting(message, now);
        return;
    case LoadEvent::Ejected:
        // Only a failure seen from the same data centre shows that this VM cannot reach the
        // endpoint either.
        if (message.m_dataCentre == m_settings.m_dataCentre && !message.m_parts.empty())
            recordFailure(m_ejections, message.m_parts.front().m_endpoint, FailureWeight::Strong,
                          now);
        return;
    case LoadEvent::Placed:
        removeFromQueues(message.m_key);
        recordPlacement(message, now);
        for (const Fingerprint &suspect : message.m_fingerprints)
            m_suspects.beginSuspectAttempt(suspect, message.m_key, Millis(message.m_expiresMs));
        return;
    case LoadEvent::BrokenOff:
        if (!message.m_parts.empty())
            recordBrokenResponse(message.m_parts.front().m_endpoint, message.m_key.m_origin);
        return;
    case LoadEvent::FirstEvent:
        recordResponse(message.m_key);
        m_ledger.recordFirstEvent(message.m_key);
        return;
    case LoadEvent::Ended:
        removeFromQueues(message.m_key);
        m_turnMonitor.noteEnded(message.m_key, now);
        m_ledger.end(message.m_key);
        m_suspects.endSuspectAttempt(message.m_key);
        return;
    case LoadEvent::RetryDeposit:
    case LoadEvent::RetryRequest:
    case LoadEvent::RetryGrant:
    case LoadEvent::RetryDenial:
    case LoadEvent::RetryPoolState:
        m_retryBroker.receive(message);
        return;
    case LoadEvent::ReturnPlace:
        m_turnMonitor.receivePlace(message, now);
        return;
    case LoadEvent::Batch:
        return; // Only within LoadExchange.
    case LoadEvent::RequestLimit:
    case LoadEvent::EndpointLeaving:
        m_limiter.receive(*m_view.load(), message);
        return;
    case LoadEvent::Suspected:
    case LoadEvent::Cleared:
        m_suspects.receive(message);
        return;
    case LoadEvent::PartsSuspected:
    case LoadEvent::PartsCleared:
        m_parts.receive(message);
        return;
    }
}

} // namespace stackquay
