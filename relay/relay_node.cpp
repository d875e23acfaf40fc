#include "relay/relay_node.h"

namespace stackquay {

namespace {

/// Idle connections kept to one endpoint.
constexpr size_t IdleConnections = 8;
/// A VM that began so short ago has not heard of all that the others have in flight: streams last
/// longer than this.
constexpr Millis BlindTime{ 1'500 };
/// VMs may be added: the slack is divided by this many times those known.
constexpr double SharerMargin = 1.5;

} // namespace

RelayNode::RelayNode(FiberThread &thread, RelaySettings settings, const RelayDialect &dialect)
    : m_settings(std::move(settings))
    , m_dialect(dialect)
    , m_thread(thread)
    , m_random(std::random_device{}())
    , m_origin(m_random())
    , m_pool(thread.context(), IdleConnections)
    , m_loads(thread, [this](const LoadMessage &message) { receive(message); })
{
    m_view.store(std::make_shared<const RelayView>());
}

TurnQueue &RelayNode::queueOf(uint32_t gapLimitMs)
{
    return isStrictGap(gapLimitMs) ? m_strictQueue : m_longQueue;
}

void RelayNode::leaveQueues(const LoadKey &key)
{
    m_strictQueue.erase(key);
    m_longQueue.erase(key);
}

void RelayNode::wait(const LoadKey &key, uint32_t gapLimitMs, const WaitingTurn &turn)
{
    const TimePoint now = Clock::now();
    const auto millis = [](Duration duration) {
        const auto count = std::chrono::duration_cast<Millis>(duration).count();
        return static_cast<uint32_t>(std::max<Millis::rep>(count, 0));
    };
    LoadMessage message{ LoadChange::Waiting, key };
    message.m_gapLimitMs = gapLimitMs;
    message.m_expiresMs = millis(turn.m_expiresAt - now);
    message.m_aimMs = millis(turn.m_aimAt - now);
    message.m_neededMs = millis(turn.m_needed);
    m_loads.send(message);
    queueOf(gapLimitMs)[key] = turn;
}

void RelayNode::place(const LoadKey &key, std::vector<LoadPart> parts, uint32_t gapLimitMs,
                      Duration lifetime)
{
    const TimePoint now = Clock::now();
    const auto millis = std::chrono::duration_cast<Millis>(lifetime).count();
    LoadMessage message{ LoadChange::Placed, key };
    message.m_parts = parts;
    message.m_gapLimitMs = gapLimitMs;
    message.m_expiresMs = static_cast<uint32_t>(millis);
    m_loads.send(message);
    leaveQueues(key);
    m_ledger.place(key, { std::move(parts), gapLimitMs, false, now, now + lifetime });
}

void RelayNode::startWriting(const LoadKey &key)
{
    m_ledger.startWriting(key);
    m_loads.send(LoadMessage{ LoadChange::FirstEvent, key });
}

void RelayNode::end(const LoadKey &key)
{
    m_ledger.end(key);
    leaveQueues(key);
    m_loads.send(LoadMessage{ LoadChange::Ended, key });
}

std::unordered_set<EndpointId> RelayNode::strictSide(const ServiceId &service,
                                                     const EngineCosts &costs,
                                                     const std::vector<EndpointRecord> &pool,
                                                     const EndpointUses &uses)
{
    const TimePoint now = Clock::now();
    if (m_readySince == TimePoint{})
        m_readySince = now;
    StrictDemand demand;
    demand.m_waiting = static_cast<uint32_t>(m_strictQueue.size());
    demand.m_arrivals = m_ledger.recentStrict(now);
    demand.m_streamTime = costs.m_step * static_cast<double>(costs.m_usualAnswerTokens);
    demand.m_slots = costs.m_slots;
    demand.m_blind = now - m_readySince < BlindTime;
    return strictEngines(m_splits[service], pool, uses, demand, now);
}

void RelayNode::forget(uint64_t origin)
{
    m_ledger.forgetOrigin(origin);
    for (TurnQueue *queue : { &m_strictQueue, &m_longQueue }) {
        std::erase_if(*queue,
                      [origin](const auto &entry) { return entry.first.m_origin == origin; });
    }
}

void RelayNode::noteFailure(const EndpointId &endpoint, FailureWeight weight, std::string_view why)
{
    // The end of this process breaks off waits; that says nothing of an endpoint.
    if (m_ending || !recordFailure(m_ejections, endpoint, weight, Clock::now()))
        return;
    m_metrics.m_ejections.add();
    if (weight == FailureWeight::Telling) {
        LoadMessage message{ LoadChange::Ejected, nextKey() };
        message.m_parts = { { endpoint, 0, 0 } };
        message.m_dataCentre = m_settings.m_dataCentre;
        m_loads.send(message);
    }
    DecisionLine("relay", "endpoint ejected")
        .text("endpoint", endpoint.str())
        .text("why", why)
        .write();
}

void RelayNode::setRetryBounds(const RelayView &view)
{
    m_retries.m_settings.m_ratio = view.m_bounds.m_retryRatio;
    m_retries.m_settings.m_slack = view.m_bounds.m_retrySlack;
    m_retries.m_settings.m_window = view.m_bounds.m_retryWindow;
    m_retries.m_settings.m_sharers = static_cast<uint32_t>(view.m_vms * SharerMargin) + 1;
}

bool RelayNode::mayRepeat(const ServiceId &service, const RelayView &view)
{
    setRetryBounds(view);
    return repeatsLeft(m_retries, service, Clock::now());
}

bool RelayNode::takeRepeat(const ServiceId &service, const RelayView &view)
{
    setRetryBounds(view);
    const bool taken = ::stackquay::takeRepeat(m_retries, service, Clock::now());
    (taken ? m_metrics.m_repeats : m_metrics.m_repeatsRefused).add();
    return taken;
}

void RelayNode::receive(const LoadMessage &message)
{
    const TimePoint now = Clock::now();
    switch (message.m_change) {
    case LoadChange::Waiting:
        queueOf(message.m_gapLimitMs)[message.m_key] = { now + Millis(message.m_aimMs),
                                                         Millis(message.m_neededMs),
                                                         now + Millis(message.m_expiresMs) };
        return;
    case LoadChange::Ejected:
        // Others may reach it: only a neighbour's failure tells of this VM's way there.
        if (message.m_dataCentre == m_settings.m_dataCentre && !message.m_parts.empty())
            recordFailure(m_ejections, message.m_parts.front().m_endpoint, FailureWeight::Telling,
                          now);
        return;
    case LoadChange::Placed:
        leaveQueues(message.m_key);
        m_ledger.place(message.m_key, { message.m_parts, message.m_gapLimitMs, false, now,
                                        now + Millis(message.m_expiresMs) });
        return;
    case LoadChange::FirstEvent:
        m_ledger.startWriting(message.m_key);
        return;
    case LoadChange::Ended:
        leaveQueues(message.m_key);
        m_ledger.end(message.m_key);
        return;
    }
}

} // namespace stackquay
