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
/// Entries expire after three heartbeats, 3.6 s, and a watcher hears of it within seconds.
constexpr Millis GonePoll{ 200 };
constexpr Millis GoneTimeout{ 10'000 };
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
    bool recordCrash(const BrokenAttempt &attempt, const EndpointRecord &endpoint, bool confirmed);
    void confirmOnceGone(const BrokenAttempt &attempt, const EndpointRecord &endpoint);
    void delayResend();
    bool recheck(const BrokenAttempt &attempt);
    bool noteIfExited(const BrokenAttempt &attempt);
    void logChange(const Fingerprint &fingerprint, SuspectChange change);
    std::vector<SuspectReport> quarantined() const;
    void reportQuarantined(bool observed);
    bool clear(const Fingerprint &fingerprint, const std::vector<uint64_t> &crashes, bool observed);
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
        .number("trials", suspect->second.m_failedProbes)
        .flag("answered_before", suspect->second.m_answeredBefore)
        .number("suspects", static_cast<int64_t>(m_table.m_suspects.size()))
        .write();
}

std::vector<SuspectReport> SuspectTracker::State::quarantined() const
{
    std::vector<SuspectReport> reports = suspectReports(m_table, MaxSuspectsSent, Clock::now());
    std::erase_if(reports, [this](const SuspectReport &report) {
        return !isQuarantined(m_table, report.m_fingerprint);
    });
    return reports;
}

void SuspectTracker::State::reportQuarantined(bool observed)
{
    m_hooks.m_quarantined(quarantined(), observed);
}

bool SuspectTracker::State::clear(const Fingerprint &fingerprint,
                                  const std::vector<uint64_t> &crashes, bool observed)
{
    const SuspectReport known = suspectReport(m_table, fingerprint, Clock::now());
    const bool wasQuarantined = isQuarantined(m_table, fingerprint);
    const bool changed = markCleared(m_table, fingerprint, crashes, Clock::now());
    if (wasQuarantined)
        m_hooks.m_cleared(known, quarantined(), observed);
    return changed;
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
    std::ignore = recordCrash(attempt, endpoint, true);
}

/// Returns whether this crash of the suspect was not known, or not confirmed.
bool SuspectTracker::State::recordCrash(const BrokenAttempt &attempt,
                                        const EndpointRecord &endpoint, bool confirmed)
{
    const Fingerprint &fingerprint = attempt.m_fingerprint;
    const SuspectCrash crash{ processKey(endpoint.m_id, endpoint.m_startedMs), attempt.m_begun,
                              attempt.m_at, confirmed };
    const SuspectChange change = stackquay::recordCrash(m_table, fingerprint, crash, Clock::now());
    if (change == SuspectChange::None)
        return false;
    logChange(fingerprint, change);
    if (!confirmed)
        return true;
    LoadMessage message{ LoadEvent::Suspected };
    message.m_suspects = { suspectReport(m_table, fingerprint, Clock::now()) };
    broadcast(m_hooks.m_fleet, message);
    if (change != SuspectChange::Quarantined)
        return true;
    broadcastAgain(m_thread, m_hooks.m_fleet, message);
    reportQuarantined(true);
    return true;
}

/// All endpoints may have ended together, or the path of this VM has failed: the store tells.
void SuspectTracker::State::confirmOnceGone(const BrokenAttempt &attempt,
                                            const EndpointRecord &endpoint)
{
    const TimePoint until = Clock::now() + GoneTimeout;
    while (sleepFor(m_thread.context(), GonePoll) && Clock::now() < until) {
        if (!m_hooks.m_isGone(endpoint))
            continue;
        noteExit(attempt, endpoint);
        return;
    }
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
        if (!m_exitProbe.hasExited(endpoint))
            continue;
        if (!m_hooks.m_reachesOthers(endpoint)) {
            if (recordCrash(attempt, endpoint, false))
                spawnFiber([self = shared_from_this(), attempt, endpoint] {
                    self->confirmOnceGone(attempt, endpoint);
                });
            continue;
        }
        noteExit(attempt, endpoint);
        return true;
    }
    return false;
}

bool SuspectTracker::State::recheck(const BrokenAttempt &attempt)
{
    for (const Millis after : RecheckDelays) {
        if (!sleepFor(m_thread.context(), after))
            return false;
        if (noteIfExited(attempt))
            return true;
    }
    return false;
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
    const bool isSuspect = state->m_table.m_suspects.count(attempt.m_fingerprint) > 0;
    if (state->noteIfExited(attempt) || (isSuspect && state->recheck(attempt))) {
        state->delayResend();
        return true;
    }
    if (!isSuspect)
        spawnFiber([state, attempt] { std::ignore = state->recheck(attempt); });
    return false;
}

void SuspectTracker::excuse(const std::unordered_set<uint64_t> &processes)
{
    excuseCrashes(m_state->m_table, processes);
}

void SuspectTracker::noteCompleted(const Fingerprint &fingerprint)
{
    SuspectTable &table = m_state->m_table;
    recordAnswer(table.m_answered, fingerprint.m_low, Clock::now());
    const auto suspect = table.m_suspects.find(fingerprint);
    if (suspect == table.m_suspects.end())
        return;
    LoadMessage message{ LoadEvent::Cleared };
    message.m_fingerprints = { fingerprint };
    message.m_suspects = { { fingerprint, {}, 0, 0 } };
    for (const SuspectCrash &crash : suspect->second.m_crashes)
        message.m_suspects.front().m_crashes.push_back(crash.m_process);
    m_state->clear(fingerprint, {}, true);
    DecisionLine("relay", "request cleared").text("print", toString(fingerprint)).write();
    broadcast(m_state->m_hooks.m_fleet, std::move(message));
}

SuspectDecision SuspectTracker::decideAttempt(const Fingerprint &fingerprint,
                                              const LoadKey &own) const
{
    const bool mayProbe = m_state->m_hooks.m_mayProbe(m_state->m_table, fingerprint);
    return stackquay::decideAttempt(m_state->m_table, fingerprint, own, mayProbe, Clock::now());
}

void SuspectTracker::beginSuspectAttempt(const Fingerprint &fingerprint, const LoadKey &key,
                                         Duration lifetime)
{
    const TimePoint now = Clock::now();
    stackquay::beginSuspectAttempt(m_state->m_table, fingerprint, key, now + lifetime, now);
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
        cleared = m_state->clear(report.m_fingerprint, report.m_crashes, false) || cleared;
    // VMs of an earlier version send no process exits.
    for (const Fingerprint &fingerprint : message.m_fingerprints)
        cleared = m_state->clear(fingerprint, {}, false) || cleared;
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
