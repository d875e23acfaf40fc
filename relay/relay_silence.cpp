/// Part of RelayRun: attempts whose endpoint has sent nothing for some time.
#include <algorithm>

#include "relay/relay_run.h"

namespace stackquay {

namespace {

/// The period between decisions grows up to so many times, while no attempt can be sent.
constexpr uint32_t MaxPeriods = 10;

} // namespace

std::optional<TimePoint> RelayRun::handleSilence()
{
    const HttpConnection &connection = *m_attempt.m_connection;
    const TimePoint silentSince = std::max(connection.sentAt(), connection.lastReadAt());
    const bool answered = m_attempt.m_answeredAt != TimePoint{};
    const TimePoint lateAt =
        silentSince + (answered ? streamSilenceTimeout() : m_attempt.m_firstEventTimeout);
    const TimePoint now = Clock::now();
    if (now < lateAt)
        return lateAt;
    const Duration silentFor = now - silentSince;
    SilentAttempt silence;
    silence.m_mayRunElsewhere = mayRunElsewhere();
    silence.m_hasBudget =
        m_retryPaid || m_node.mayRetry(m_serviceId, *m_view, RetryPurpose::Parallel);
    const Duration period = m_node.m_silence.m_period * std::min(m_vainRounds + 1, MaxPeriods);
    if (m_attempt.m_silent && !(silence.m_mayRunElsewhere && silence.m_hasBudget))
        return now + period;
    const PoolActivity activity = poolActivitySince(silentFor);
    silence.m_unacknowledged = connection.unacknowledged();
    silence.m_aliveEndpoints = activity.m_alive.size();
    silence.m_silentEndpoints = activity.m_silent.size();
    silence.m_unusedEndpoints = activity.m_unused;
    silence.m_endpoints = poolSize();
    noteSilence(silence, silentFor);
    if (decideSilence(m_node.m_silence, silence) == SilenceDecision::AttemptElsewhere) {
        m_silentEndpoints = activity.m_silent;
        if (silence.m_unacknowledged)
            m_silentEndpoints.erase(m_attempt.m_plan->m_members.front().m_endpoint.m_id);
        attemptBeside();
    }
    if (isCancelled())
        return std::nullopt;
    return Clock::now() + period;
}

PoolActivity RelayRun::poolActivitySince(Duration silentFor) const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    if (!pool)
        return {};
    // Of the last half only: an endpoint does not write to all of its streams at the same time.
    return poolActivity(m_node.m_activity, *pool, m_node.m_ledger.loads(), m_node.m_origin,
                        Clock::now() - silentFor / 2);
}

void RelayRun::noteSilence(const SilentAttempt &silence, Duration silentFor)
{
    if (std::exchange(m_attempt.m_silent, true))
        return;
    logSilence(silence, silentFor);
    m_node.m_metrics.m_silences.add();
    const EndpointRecord &endpoint = m_attempt.m_plan->m_members.front().m_endpoint;
    if (silence.m_unacknowledged) {
        noteSilentConnection(*m_attempt.m_connection, endpoint);
        return;
    }
    m_triedEndpoints.insert(endpoint.m_id);
    // Where the request waits at its only endpoint, its time is no measure of the endpoint.
    if (silence.m_mayRunElsewhere)
        m_node.noteFailure(endpoint.m_id, silenceWeight(m_node.m_silence, silence), "silent");
}

void RelayRun::noteActive(const EndpointRecord &endpoint)
{
    noteAlive(m_node.m_activity, endpoint.m_id, Clock::now());
    if (!std::exchange(m_attempt.m_silent, false))
        return;
    recordSuccess(m_node.m_ejections, endpoint.m_id);
    m_node.m_metrics.m_silencesEnded.add();
    DecisionLine("relay", "silent attempt goes on")
        .text("request", m_head.m_id.str())
        .text("endpoint", endpoint.m_id.str())
        .number("longest_gap_ms", std::chrono::duration_cast<Millis>(m_longestGap).count())
        .number("ms", std::chrono::duration_cast<Millis>(Clock::now() - m_arrival).count())
        .write();
}

void RelayRun::attemptBeside()
{
    m_standbys.push_back(std::exchange(m_attempt, {}));
    const auto ended = std::make_shared<bool>(false);
    watchStandby(m_standbys.size() - 1, ended);
    const size_t sent = m_sent.size();
    // A retry is paid for only if there is a place for it now.
    const bool hasPlace = forwardPeer() || choosePlan(DisruptionPolicy::Avoid, poolState());
    if (hasPlace && mayAttempt() && !isCancelled())
        attemptOnce();
    if (m_sent.size() > sent)
        ++m_placements;
    else
        ++m_vainRounds;
    *ended = true;
    m_attempt = m_standbys.back();
    m_standbys.pop_back();
    if (m_attempt.m_connection)
        m_attempt.m_connection->stopAwaiting();
}

void RelayRun::watchStandby(size_t index, const std::shared_ptr<bool> &ended)
{
    spawnFiber([this, index, ended, connection = m_standbys[index].m_connection] {
        if (*ended || !connection->awaitReadable(remainingTime()) || *ended)
            return;
        if (connection->hasBytes()) {
            cancelFrom(index + 1);
            return;
        }
        // The connection has ended, which leaves the attempt beside it as the only one.
        releaseLoad(m_standbys[index]);
    });
}

void RelayRun::cancelFrom(size_t index)
{
    for (size_t i = index; i < m_standbys.size(); ++i)
        cancel(m_standbys[i]);
    cancel(m_attempt);
}

void RelayRun::cancel(Attempt &attempt)
{
    if (std::exchange(attempt.m_cancelled, true) || !attempt.m_connection)
        return;
    attempt.m_connection->cancel();
    releaseLoad(attempt);
}

/// A silent attempt itself ends only after the one beside it.
void RelayRun::releaseLoad(const Attempt &attempt)
{
    if (attempt.m_reservations)
        attempt.m_reservations->releaseAll();
    m_node.end(attempt.m_loadKey);
}

void RelayRun::cancelStandbys()
{
    for (Attempt &standby : m_standbys)
        cancel(standby);
}

bool RelayRun::isCancelled() const
{
    return m_clientDisconnected || m_node.m_stopping || m_answered || m_attempt.m_cancelled;
}

void RelayRun::cancelAttempts()
{
    for (Attempt &standby : m_standbys)
        cancel(standby);
    cancel(m_attempt);
}

void RelayRun::logSilence(const SilentAttempt &silence, Duration silentFor) const
{
    const RelayViewPtr view = m_node.m_view.load();
    const auto *pool = poolOf(*view, m_serviceId);
    DecisionLine("relay", "attempt silent")
        .text("request", m_head.m_id.str())
        .text("endpoint", m_attempt.m_plan->m_members.front().m_endpoint.m_id.str())
        .flag("answered", m_attempt.m_answeredAt != TimePoint{})
        .number("silent_ms", std::chrono::duration_cast<Millis>(silentFor).count())
        .number("endpoints", pool ? static_cast<int64_t>(pool->size()) : 0)
        .number("endpoints_alive", static_cast<int64_t>(silence.m_aliveEndpoints))
        .number("endpoints_silent", static_cast<int64_t>(silence.m_silentEndpoints))
        .flag("unacknowledged", silence.m_unacknowledged)
        .flag("may_run_elsewhere", silence.m_mayRunElsewhere)
        .flag("budget", silence.m_hasBudget)
        .number("version", static_cast<int64_t>(m_view->m_proof.m_version))
        .number("version_now", static_cast<int64_t>(view->m_proof.m_version))
        .number("left_ms", std::chrono::duration_cast<Millis>(remainingTime()).count())
        .write();
}

} // namespace stackquay
