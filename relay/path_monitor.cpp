#include "relay/path_monitor.h"

#include <algorithm>

#include "relay/relay_node.h"

namespace stackquay {

namespace {

/// The next attempt of the request that failed mostly shows the state sooner.
constexpr Millis FirstProbeDelay{ 100 };
/// After an answer, the next probe shows soon whether the path works again.
constexpr Millis NextProbeDelay{ 5 };
/// Period of the probes of an isolated VM.
constexpr Millis ProbePeriod{ 300 };
/// Other endpoints that are tried before one is blamed.
constexpr int MaxConfirmations = 2;
/// A probe of an endpoint in another data centre takes a few milliseconds.
constexpr Millis ProbeTimeout{ 200 };

} // namespace

void PathMonitor::noteReached(const EndpointRecord &endpoint)
{
    const bool wasIsolated = isIsolated();
    m_health.recordReached(endpoint, Clock::now());
    if (isIsolated())
        return;
    if (wasIsolated)
        noteChange();
    for (const auto &report : std::exchange(m_reports, {}))
        report();
}

void PathMonitor::noteUnreached(const EndpointRecord &endpoint)
{
    if (m_node.m_stopping)
        return;
    const bool wasIsolated = isIsolated();
    m_health.recordUnreached(endpoint, endpoints(), Clock::now());
    if (isIsolated() && !wasIsolated) {
        m_reports.clear();
        m_node.m_ejections.m_endpoints.clear();
        noteChange();
    }
    start();
}

void PathMonitor::reportOnceReached(std::function<void()> report)
{
    // There is nothing to compare a single endpoint with.
    if (endpoints().size() < 2)
        return report();
    if (isIsolated())
        return;
    m_reports.push_back(std::move(report));
    start();
}

void PathMonitor::start()
{
    if (m_probing)
        return;
    m_probing = true;
    spawnFiber([this] {
        Millis delay = FirstProbeDelay;
        while (sleepFor(m_node.m_thread.context(), delay)
               && (isIsolated() || m_health.isDoubtful() || !m_reports.empty())) {
            const bool reached = probe().value_or(false);
            delay = reached ? NextProbeDelay : isIsolated() ? ProbePeriod : FirstProbeDelay;
        }
        m_probing = false;
    });
}

std::optional<bool> PathMonitor::probe(const EndpointId &except)
{
    std::vector<EndpointRecord> candidates = endpoints();
    std::erase_if(candidates, [&](const EndpointRecord &one) { return one.m_id == except; });
    const auto isUnreached = [this](const EndpointRecord &one) {
        return m_health.isUnreached(one.m_id);
    };
    // Engines answer a probe at once; of others a connection shows less.
    const RelayViewPtr view = m_node.m_view.load();
    const auto isPlain = [&view](const EndpointRecord &one) { return !isEngine(*view, one); };
    if (!std::all_of(candidates.begin(), candidates.end(), isPlain))
        std::erase_if(candidates, isPlain);
    if (!isIsolated() && !std::all_of(candidates.begin(), candidates.end(), isUnreached))
        std::erase_if(candidates, isUnreached);
    const auto isBlocked = [this](const EndpointRecord &one) {
        return m_node.m_limiter.isBlocked(one);
    };
    if (!std::all_of(candidates.begin(), candidates.end(), isBlocked))
        std::erase_if(candidates, isBlocked);
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<size_t> draw(0, candidates.size() - 1);
    const EndpointRecord endpoint = candidates[draw(m_node.m_random)];
    const bool reached =
        m_node.probe(endpoint, isEngine(*view, endpoint), ProbeTimeout).has_value();
    if (reached)
        noteReached(endpoint);
    else
        noteUnreached(endpoint);
    return reached;
}

bool PathMonitor::reachesOthers(const EndpointRecord &endpoint)
{
    for (int tries = 0; tries < MaxConfirmations; ++tries) {
        const auto reached = probe(endpoint.m_id);
        if (!reached || *reached)
            return true;
    }
    return false;
}

std::vector<EndpointRecord> PathMonitor::endpoints() const
{
    std::vector<EndpointRecord> all;
    for (const auto &[service, pool] : m_node.m_view.load()->m_pools)
        all.insert(all.end(), pool.begin(), pool.end());
    return all;
}

void PathMonitor::noteChange()
{
    m_node.m_isolated = isIsolated();
    if (m_node.m_isolationChanged)
        m_node.m_isolationChanged();
    DecisionLine("relay", isIsolated() ? "no endpoint is reached" : "endpoints are reached again")
        .number("endpoints", static_cast<int64_t>(endpoints().size()))
        .write();
}

} // namespace stackquay
