#include "relay/absence_monitor.h"

#include "relay/relay_run.h"

namespace stackquay {

namespace {

constexpr Millis CheckPeriod{ 50 };
/// An endpoint answers a probe without a queue, within a round trip.
constexpr Millis ProbeTimeout{ 200 };
/// A probe that took this much longer than its timeout was delayed by this VM, and shows nothing.
constexpr Millis MaxProbeDelay{ 100 };

std::string_view listingName(ProcessListing listing)
{
    switch (listing) {
    case ProcessListing::Listed:
        return "listed";
    case ProcessListing::Leaving:
        return "leaving";
    case ProcessListing::Absent:
        return "absent";
    case ProcessListing::Unconfirmed:
        return "unconfirmed";
    case ProcessListing::Replaced:
        return "replaced";
    }
    return "";
}

uint64_t keyOf(const EndpointRecord &endpoint)
{
    return processKey(endpoint.m_id, endpoint.m_startedMs);
}

void logAbandoned(const PendingAttempt &attempt, const AbsenceEvidence &evidence)
{
    DecisionLine("relay", "attempt abandoned")
        .text("request", attempt.m_run->id().str())
        .text("endpoint", attempt.endpoint().m_id.str())
        .text("listing", listingName(evidence.m_listing))
        .number("silent_ms", std::chrono::duration_cast<Millis>(evidence.m_silence).count())
        .number("probes_failed", evidence.m_failedProbes)
        .flag("repeatable", evidence.m_repeatable)
        .flag("holds_memory", evidence.m_holdsMemory)
        .write();
}

} // namespace

void AbsenceMonitor::noteDeparted(const std::vector<EndpointRecord> &departed)
{
    for (const EndpointRecord &endpoint : departed) {
        if (endpoint.m_draining)
            m_leaving.insert(endpoint.m_id);
        forgetActivity(m_node.m_activity, endpoint.m_id);
        const auto address = parseAddress(endpoint.m_address);
        if (address && !m_node.acceptsWork(endpoint))
            m_node.m_pool.forget(*address);
    }
    start();
}

void AbsenceMonitor::start()
{
    if (m_running)
        return;
    m_running = true;
    m_settings.m_minListedFailing =
        std::chrono::duration_cast<Millis>(m_node.m_view.load()->m_bounds.m_memoryReleaseTime / 2);
    spawnFiber([this] {
        while (checkAttempts() && sleepFor(m_node.m_thread.context(), CheckPeriod)) { }
        m_running = false;
        m_leaving.clear();
        std::erase_if(m_probes, [](const auto &entry) { return !entry.second.m_inProgress; });
    });
}

bool AbsenceMonitor::checkAttempts()
{
    bool again = false;
    for (RelayRun *run : m_node.m_runs) {
        for (const PendingAttempt &attempt : run->pendingAttempts())
            again = checkAttempt(attempt) || again;
    }
    return again;
}

bool AbsenceMonitor::checkAttempt(const PendingAttempt &pending)
{
    const Attempt &attempt = *pending.m_attempt;
    const EndpointRecord &endpoint = pending.endpoint();
    const ProcessListing listing = listingOf(endpoint);
    if (listing == ProcessListing::Listed && !attempt.holdsMemory())
        return false;
    const AbsenceEvidence evidence = evidenceOf(pending, listing);
    const AbsenceDecision decision = decideAbsence(m_settings, evidence);
    // Bytes that have arrived are the endpoint's, whether or not it is still there.
    if (decision == AbsenceDecision::Wait || attempt.m_connection->readable())
        return true;
    if (decision == AbsenceDecision::Probe) {
        probe(endpoint, pending.m_run->isModelRequest());
        return true;
    }
    logAbandoned(pending, evidence);
    m_node.m_metrics.m_abandoned.add();
    // Other requests are still sent to a listed endpoint.
    pending.m_run->abandonAttempt(*pending.m_attempt, listing == ProcessListing::Listed
                                                          ? FailureWeight::Strong
                                                          : FailureWeight::None);
    return true;
}

ProcessListing AbsenceMonitor::listingOf(const EndpointRecord &endpoint) const
{
    const RelayViewPtr view = m_node.m_view.load();
    if (!view->m_directory)
        return ProcessListing::Listed;
    return stackquay::listingOf(*view->m_directory, endpoint, m_leaving.count(endpoint.m_id) > 0);
}

AbsenceEvidence AbsenceMonitor::evidenceOf(const PendingAttempt &pending, ProcessListing listing)
{
    const EndpointRecord &endpoint = pending.endpoint();
    const HttpConnection &connection = *pending.m_attempt->m_connection;
    const TimePoint now = Clock::now();
    AbsenceEvidence evidence;
    evidence.m_listing = listing;
    evidence.m_repeatable = !pending.m_run->atMostOnce();
    evidence.m_holdsMemory = pending.m_attempt->holdsMemory();
    evidence.m_silence = now - std::max(connection.sentAt(), connection.lastReadAt());
    const auto known = m_probes.find(keyOf(endpoint));
    if (known == m_probes.end())
        return evidence;
    ProbeState &state = known->second;
    if (connection.lastReadAt() > state.m_begunAt)
        state.m_failed = 0;
    evidence.m_failedProbes = state.m_failed;
    if (state.m_failed > 0)
        evidence.m_failingFor = now - state.m_failingSince;
    if (state.m_endedAt != TimePoint{})
        evidence.m_sinceProbe = now - state.m_endedAt;
    return evidence;
}

void AbsenceMonitor::probe(const EndpointRecord &endpoint, bool engine)
{
    ProbeState &state = m_probes[keyOf(endpoint)];
    if (state.m_inProgress)
        return;
    state.m_inProgress = true;
    state.m_begunAt = Clock::now();
    m_node.m_metrics.m_absenceProbes.add();
    spawnFiber([this, endpoint, engine] {
        const TimePoint begun = Clock::now();
        const bool answered = answersProbe(endpoint, engine);
        const TimePoint now = Clock::now();
        const bool delayed = now - begun > ProbeTimeout + MaxProbeDelay;
        ProbeState &ended = m_probes[keyOf(endpoint)];
        ended.m_inProgress = false;
        ended.m_endedAt = now;
        if (answered)
            ended.m_failed = 0;
        else if (!delayed && ended.m_failed++ == 0)
            ended.m_failingSince = begun;
        DecisionLine("relay", "endpoint probed")
            .text("endpoint", endpoint.m_id.str())
            .flag("answered", answered)
            .flag("delayed", delayed)
            .number("ms", std::chrono::duration_cast<Millis>(now - begun).count())
            .write();
    });
}

bool AbsenceMonitor::answersProbe(const EndpointRecord &endpoint, bool engine)
{
    const auto answer = m_node.probe(endpoint, engine, ProbeTimeout);
    return answer && (!engine || m_node.m_dialect.m_isAnswerOf(*answer, endpoint.m_id));
}

} // namespace stackquay
