#include "relay/suspect_tracker.h"

#include <algorithm>
#include <array>
#include <tuple>
#include <unordered_set>

namespace stackquay {

namespace {

/// A crashing process may close its connections before its listening socket, for example while an
/// engine writes a core dump. The later check is well within the time in which the exit must be
/// known.
constexpr std::array<Millis, 2> RecheckDelays{ Millis(20), Millis(150) };
/// The suspects of one exit each wait for a random time in this range before they are sent again,
/// so that they receive each other's placements.
constexpr Millis MinResendDelay{ 5 };
constexpr Millis MaxResendDelay{ 35 };
/// Suspects in one datagram, which must fit into a packet, and in all that is sent to a new VM.
constexpr size_t SuspectsPerDatagram = 8;
constexpr size_t MaxSuspectsSent = 64;
/// A suspect that runs alone is placed on one of the least loaded engines: one in this many of the
/// pool.
constexpr size_t LeastLoadedDivisor = 4;

std::vector<EndpointRecord> leastLoadedPart(std::vector<EndpointRecord> pool,
                                            const EndpointUses &uses)
{
    const auto attempts = [&uses](const EndpointRecord &endpoint) {
        const auto use = uses.find(endpoint.m_id);
        return use == uses.end() ? 0u : use->second.m_attempts;
    };
    std::stable_sort(pool.begin(), pool.end(),
                     [&](const EndpointRecord &left, const EndpointRecord &right) {
                         return attempts(left) < attempts(right);
                     });
    pool.resize((pool.size() + LeastLoadedDivisor - 1) / LeastLoadedDivisor);
    return pool;
}

} // namespace

struct SuspectTracker::State : std::enable_shared_from_this<SuspectTracker::State> {
    State(FiberThread &thread, SuspectHooks hooks)
        : m_thread(thread)
        , m_hooks(std::move(hooks))
        , m_exitProbe(thread)
        , m_random(std::random_device{}())
    { }

    FiberThread &m_thread;
    SuspectHooks m_hooks;
    ExitProbe m_exitProbe;
    RandomEngine m_random;
    SuspectTable m_table;

    void noteExit(const BrokenAttempt &attempt, const EndpointRecord &endpoint);
    void delayResend();
    void recheck(const BrokenAttempt &attempt);
    bool noteIfExited(const BrokenAttempt &attempt);
    void logChange(const Fingerprint &fingerprint, SuspectChange change);
    void reportQuarantined(bool observed);
    bool merge(const std::vector<SuspectReport> &reports);
};

void SuspectTracker::State::logChange(const Fingerprint &fingerprint, SuspectChange change)
{
    const auto suspect = m_table.m_suspects.find(fingerprint);
    if (suspect == m_table.m_suspects.end())
        return;
    DecisionLine("relay",
                 change == SuspectChange::Quarantined ? "request condemned" : "request suspected")
        .text("print", toString(fingerprint))
        .number("ends", static_cast<int64_t>(suspect->second.m_crashes.size()))
        .number("trials", suspect->second.m_probesMade)
        .number("suspects", static_cast<int64_t>(m_table.m_suspects.size()))
        .write();
}

void SuspectTracker::State::reportQuarantined(bool observed)
{
    std::vector<SuspectReport> quarantined = suspectReports(m_table, MaxSuspectsSent, Clock::now());
    std::erase_if(quarantined,
                  [this](const SuspectReport &report) { return !isQuarantined(m_table, report); });
    m_hooks.m_quarantined(quarantined, observed);
}

void SuspectTracker::State::noteExit(const BrokenAttempt &attempt, const EndpointRecord &endpoint)
{
    const TimePoint now = Clock::now();
    const Fingerprint &fingerprint = attempt.m_fingerprint;
    DecisionLine("relay", "endpoint process ended")
        .text("endpoint", endpoint.m_id.str())
        .text("address", endpoint.m_address)
        .text("print", toString(fingerprint))
        .write();
    if (!m_hooks.m_exited(attempt, endpoint))
        return;
    dropExpiredSuspects(m_table, now);
    const SuspectChange change = stackquay::recordCrash(
        m_table, fingerprint, processKey(endpoint.m_id, endpoint.m_startedMs), now);
    if (change == SuspectChange::None)
        return;
    logChange(fingerprint, change);
    const Suspect &suspect = m_table.m_suspects[fingerprint];
    LoadMessage message{ LoadEvent::Suspected };
    message.m_suspects = { { fingerprint, suspect.m_crashes, suspect.m_probesMade, 0 } };
    broadcast(m_hooks.m_fleet, message);
    if (change != SuspectChange::Quarantined)
        return;
    broadcastAgain(m_thread, m_hooks.m_fleet, message);
    reportQuarantined(true);
}

bool SuspectTracker::State::merge(const std::vector<SuspectReport> &reports)
{
    bool changed = false;
    bool quarantined = false;
    for (const SuspectReport &report : reports) {
        const SuspectChange change = mergeSuspectReport(m_table, report, Clock::now());
        if (change == SuspectChange::None)
            continue;
        changed = true;
        quarantined = quarantined || change == SuspectChange::Quarantined;
        logChange(report.m_fingerprint, change);
    }
    if (quarantined)
        reportQuarantined(false);
    return changed;
}

bool SuspectTracker::State::noteIfExited(const BrokenAttempt &attempt)
{
    for (const EndpointRecord &endpoint : attempt.m_endpoints) {
        if (!m_exitProbe.hasExited(endpoint) || !m_hooks.m_reachesOthers(endpoint))
            continue;
        noteExit(attempt, endpoint);
        return true;
    }
    return false;
}

void SuspectTracker::State::recheck(const BrokenAttempt &attempt)
{
    for (const Millis after : RecheckDelays) {
        if (!sleepFor(m_thread.context(), after) || noteIfExited(attempt))
            return;
    }
}

void SuspectTracker::State::delayResend()
{
    std::uniform_int_distribution<Millis::rep> time(MinResendDelay.count(), MaxResendDelay.count());
    std::ignore = sleepFor(m_thread.context(), Millis(time(m_random)));
}

SuspectTracker::SuspectTracker(FiberThread &thread, SuspectHooks hooks)
    : m_state(std::make_shared<State>(thread, std::move(hooks)))
{ }

SuspectTracker::~SuspectTracker() = default;

bool SuspectTracker::empty() const
{
    return m_state->m_table.empty();
}

bool SuspectTracker::mayContain(uint64_t outline) const
{
    return m_state->m_table.mayContain(outline);
}

bool SuspectTracker::noteBrokenResponse(const BrokenAttempt &attempt)
{
    const auto state = m_state;
    if (state->noteIfExited(attempt)) {
        state->delayResend();
        return true;
    }
    spawnFiber([state, attempt] { state->recheck(attempt); });
    return false;
}

void SuspectTracker::excuse(const std::unordered_set<uint64_t> &processes)
{
    excuseCrashes(m_state->m_table, processes);
}

void SuspectTracker::noteCompleted(const Fingerprint &fingerprint)
{
    SuspectTable &table = m_state->m_table;
    const auto suspect = table.m_suspects.find(fingerprint);
    if (suspect == table.m_suspects.end())
        return;
    LoadMessage message{ LoadEvent::Cleared };
    message.m_fingerprints = { fingerprint };
    message.m_suspects = { { fingerprint, suspect->second.m_crashes, 0, 0 } };
    markCleared(table, fingerprint, {}, Clock::now());
    DecisionLine("relay", "request cleared").text("print", toString(fingerprint)).write();
    broadcast(m_state->m_hooks.m_fleet, std::move(message));
}

SuspectDecision SuspectTracker::decideAttempt(const Fingerprint &fingerprint,
                                              const LoadKey &own) const
{
    return stackquay::decideAttempt(m_state->m_table, fingerprint, own, Clock::now());
}

void SuspectTracker::beginSuspectAttempt(const Fingerprint &fingerprint, const LoadKey &key,
                                         Duration lifetime, bool own)
{
    const TimePoint now = Clock::now();
    stackquay::beginSuspectAttempt(m_state->m_table, fingerprint, key, now + lifetime, now);
    const auto attempt = m_state->m_table.m_attempts.find(key);
    // The number of probes must survive an exit of all VMs.
    if (own && attempt != m_state->m_table.m_attempts.end() && attempt->second.m_isProbe)
        m_state->reportQuarantined(true);
}

void SuspectTracker::endSuspectAttempt(const LoadKey &key)
{
    stackquay::endSuspectAttempt(m_state->m_table, key);
}

std::optional<Fingerprint> SuspectTracker::suspectOf(const LoadKey &key) const
{
    const auto attempt = m_state->m_table.m_attempts.find(key);
    if (attempt == m_state->m_table.m_attempts.end())
        return std::nullopt;
    return attempt->second.m_fingerprint;
}

std::vector<EndpointRecord> SuspectTracker::eligibleEndpoints(SuspectHandling care,
                                                              std::vector<EndpointRecord> pool,
                                                              StreamLedger &ledger) const
{
    if (care == SuspectHandling::None && m_state->m_table.m_attempts.empty())
        return pool;
    std::unordered_set<EndpointId> taken;
    for (const auto &[key, attempt] : m_state->m_table.m_attempts) {
        const auto load = ledger.loads().find(key);
        if (load == ledger.loads().end() || load->second.m_parts.empty())
            continue;
        const SuspectHandling other = suspectHandling(m_state->m_table, attempt.m_fingerprint);
        if (care != SuspectHandling::None || other == SuspectHandling::LowLoad)
            taken.insert(load->second.m_parts.front().m_endpoint);
    }
    std::vector<EndpointRecord> free;
    for (const EndpointRecord &endpoint : pool) {
        if (taken.count(endpoint.m_id) == 0)
            free.push_back(endpoint);
    }
    if (free.empty())
        return pool;
    if (care != SuspectHandling::LowLoad)
        return free;
    return leastLoadedPart(std::move(free), ledger.uses(Clock::now()));
}

void SuspectTracker::receive(const LoadMessage &message)
{
    if (message.m_change == LoadEvent::Suspected) {
        if (m_state->merge(message.m_suspects))
            forward(m_state->m_hooks.m_fleet, message);
        return;
    }
    bool cleared = false;
    for (const SuspectReport &report : message.m_suspects)
        cleared =
            markCleared(m_state->m_table, report.m_fingerprint, report.m_crashes, Clock::now())
            || cleared;
    // VMs of an earlier version send no process exits.
    for (const Fingerprint &fingerprint : message.m_fingerprints)
        cleared = markCleared(m_state->m_table, fingerprint, {}, Clock::now()) || cleared;
    if (cleared)
        forward(m_state->m_hooks.m_fleet, message);
}

void SuspectTracker::merge(const std::vector<SuspectReport> &reports)
{
    m_state->merge(reports);
}

std::vector<LoadMessage> SuspectTracker::allSuspects() const
{
    std::vector<LoadMessage> messages;
    const auto reports = suspectReports(m_state->m_table, MaxSuspectsSent, Clock::now());
    for (size_t i = 0; i < reports.size(); i += SuspectsPerDatagram) {
        const size_t end = std::min(i + SuspectsPerDatagram, reports.size());
        LoadMessage message{ LoadEvent::Suspected };
        message.m_suspects.assign(reports.begin() + static_cast<ptrdiff_t>(i),
                                  reports.begin() + static_cast<ptrdiff_t>(end));
        message.m_cell = m_state->m_hooks.m_fleet.m_cell().m_cell;
        messages.push_back(std::move(message));
    }
    return messages;
}

} // namespace stackquay
