#include "relay/part_tracker.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Many VMs may have an answer that clears a part: each waits for a random time up to this one, and
/// all but the first find it cleared.
constexpr Millis MaxClearDelay{ 100 };
/// Reports in one datagram, which must fit into a packet, and in all that is sent to a new VM.
constexpr size_t ReportsPerDatagram = 2;
constexpr size_t MaxReportsSent = 32;

std::vector<LoadMessage> messagesOf(const std::vector<PartReport> &reports)
{
    std::vector<LoadMessage> messages;
    for (size_t i = 0; i < reports.size(); i += ReportsPerDatagram) {
        const size_t end = std::min(i + ReportsPerDatagram, reports.size());
        LoadMessage message{ LoadEvent::PartsSuspected };
        message.m_partReports.assign(reports.begin() + static_cast<ptrdiff_t>(i),
                                     reports.begin() + static_cast<ptrdiff_t>(end));
        messages.push_back(std::move(message));
    }
    return messages;
}

} // namespace

struct PartTracker::State : std::enable_shared_from_this<PartTracker::State> {
    State(FiberThread &thread, PartHooks hooks)
        : m_thread(thread)
        , m_hooks(std::move(hooks))
        , m_random(std::random_device{}())
    { }

    FiberThread &m_thread;
    PartHooks m_hooks;
    RandomEngine m_random;
    PartTable m_table;

    void logChange(const PartKey &key, PartChange change) const;
    void report(const std::vector<PartKey> &keys, bool again);
    void clear(const std::vector<PartKey> &keys);
    void clearAnsweredLater();
    std::vector<PartKey> answeredKeys() const;
    void finishChange(PartChange change, bool observed);
    PartChange merge(const std::vector<PartReport> &reports);
};

void PartTracker::State::logChange(const PartKey &key, PartChange change) const
{
    const auto suspect = m_table.m_suspects.find(key);
    if (suspect == m_table.m_suspects.end())
        return;
    DecisionLine("relay", change == PartChange::Quarantined ? "part quarantined" : "part suspected")
        .text("part", fmt::format("{:016x}", key.m_part))
        .text("customer", fmt::format("{:016x}", key.m_customer))
        .number("crashes", static_cast<int64_t>(suspect->second.m_crashes.size()))
        .number("probes", suspect->second.m_probesMade)
        .number("suspects", static_cast<int64_t>(m_table.m_suspects.size()))
        .number("quarantines", static_cast<int64_t>(m_table.m_quarantines.size()))
        .write();
}

void PartTracker::State::report(const std::vector<PartKey> &keys, bool again)
{
    for (const LoadMessage &message : messagesOf(partReports(m_table, keys, Clock::now()))) {
        broadcast(m_hooks.m_fleet, message);
        if (again)
            broadcastAgain(m_thread, m_hooks.m_fleet, message);
    }
}

void PartTracker::State::clear(const std::vector<PartKey> &keys)
{
    if (keys.empty())
        return;
    LoadMessage message{ LoadEvent::PartsCleared };
    message.m_partReports = partReports(m_table, keys, Clock::now());
    const std::vector<PartKey> quarantined = quarantinedPartKeys(m_table);
    std::vector<PartReport> released = message.m_partReports;
    std::erase_if(released, [&quarantined](const PartReport &report) {
        return std::find(quarantined.begin(), quarantined.end(), report.m_key) == quarantined.end();
    });
    for (const PartKey &key : keys) {
        clearPart(m_table, key, {}, Clock::now());
        DecisionLine("relay", "part cleared")
            .text("part", fmt::format("{:016x}", key.m_part))
            .text("customer", fmt::format("{:016x}", key.m_customer))
            .write();
    }
    broadcast(m_hooks.m_fleet, std::move(message));
    finishChange(PartChange::Known, false);
    if (!released.empty())
        m_hooks.m_released(released);
}

std::vector<PartKey> PartTracker::State::answeredKeys() const
{
    std::vector<PartKey> keys;
    for (const auto &[key, suspect] : m_table.m_suspects) {
        if (m_hooks.m_isAnswered(key.m_part))
            keys.push_back(key);
    }
    return keys;
}

void PartTracker::State::clearAnsweredLater()
{
    if (answeredKeys().empty())
        return;
    spawnFiber([self = shared_from_this()] {
        std::uniform_int_distribution<Millis::rep> delay(0, MaxClearDelay.count());
        if (sleepFor(self->m_thread.context(), Millis(delay(self->m_random))))
            self->clear(self->answeredKeys());
    });
}

void PartTracker::State::finishChange(PartChange change, bool observed)
{
    // Evidence from several VMs may add up where no crash was observed.
    const bool store =
        observed || (change == PartChange::Quarantined && m_hooks.m_fleet.m_watchesStore());
    m_hooks.m_changed(partReports(m_table, quarantinedPartKeys(m_table), Clock::now()), store);
    if (change == PartChange::Quarantined)
        m_hooks.m_refusesMore();
}

PartChange PartTracker::State::merge(const std::vector<PartReport> &reports)
{
    PartChange most = PartChange::None;
    for (const PartReport &report : reports) {
        const PartChange change = mergePartReport(m_table, report, Clock::now());
        if (change == PartChange::None)
            continue;
        most = std::max(most, change);
        logChange(report.m_key, change);
    }
    if (most != PartChange::None) {
        clearAnsweredLater();
        finishChange(most, false);
    }
    return most;
}

PartTracker::PartTracker(FiberThread &thread, PartHooks hooks)
    : m_state(std::make_shared<State>(thread, std::move(hooks)))
{ }

PartTracker::~PartTracker() = default;

bool PartTracker::empty() const
{
    return m_state->m_table.empty();
}

const PartTable &PartTracker::table() const
{
    return m_state->m_table;
}

void PartTracker::noteCrash(const PromptParts &prompt, uint64_t process, const Fingerprint &request,
                            TimePoint at)
{
    PartTable &table = m_state->m_table;
    const TimePoint now = Clock::now();
    dropExpiredParts(table, now);
    PartChange most = PartChange::None;
    std::vector<PartKey> changed;
    for (const uint64_t part : prompt.m_parts) {
        if (m_state->m_hooks.m_isAnswered(part))
            continue;
        const PartKey key{ part, prompt.m_customer };
        const PartChange change = recordPartCrash(table, key, { process, request.m_low, at }, now);
        if (change == PartChange::None)
            continue;
        most = std::max(most, change);
        changed.push_back(key);
        m_state->logChange(key, change);
    }
    if (changed.empty())
        return;
    m_state->report(changed, most == PartChange::Quarantined);
    m_state->finishChange(most, most == PartChange::Quarantined);
}

void PartTracker::noteAnswered(const PromptParts &prompt)
{
    const TimePoint now = Clock::now();
    for (const uint64_t part : prompt.m_parts)
        recordAnswer(m_state->m_table.m_answered, part, now);
    if (empty())
        return;
    dropExpiredParts(m_state->m_table, now);
    m_state->clear(suspectKeysOf(m_state->m_table, prompt));
}

void PartTracker::noteProbe(const PromptParts &prompt)
{
    const std::vector<PartKey> changed = recordPartProbe(m_state->m_table, prompt, Clock::now());
    if (changed.empty())
        return;
    m_state->report(changed, true);
    m_state->finishChange(PartChange::Known, true);
}

void PartTracker::receive(const LoadMessage &message)
{
    if (message.m_change == LoadEvent::PartsSuspected) {
        if (m_state->merge(message.m_partReports) != PartChange::None)
            forward(m_state->m_hooks.m_fleet, message);
        return;
    }
    bool cleared = false;
    for (const PartReport &report : message.m_partReports) {
        std::vector<uint64_t> processes;
        for (const PartCrashReport &crash : report.m_crashes)
            processes.push_back(crash.m_process);
        cleared = clearPart(m_state->m_table, report.m_key, processes, Clock::now()) || cleared;
    }
    if (!cleared)
        return;
    forward(m_state->m_hooks.m_fleet, message);
    m_state->finishChange(PartChange::Known, false);
}

void PartTracker::merge(const std::vector<PartReport> &reports)
{
    m_state->merge(reports);
}

std::vector<LoadMessage> PartTracker::allSuspects() const
{
    std::vector<PartKey> keys = suspectPartKeys(m_state->m_table);
    if (keys.size() > MaxReportsSent)
        keys.resize(MaxReportsSent);
    auto messages = messagesOf(partReports(m_state->m_table, keys, Clock::now()));
    for (LoadMessage &message : messages)
        message.m_cell = m_state->m_hooks.m_fleet.m_cell().m_cell;
    return messages;
}

} // namespace stackquay
