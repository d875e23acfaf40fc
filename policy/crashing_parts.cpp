#include "policy/crashing_parts.h"

#include <algorithm>
#include <string>
#include <tuple>

#include "policy/probe_turn.h"
#include "policy/report_age.h"

namespace stackquay {

namespace {

template<typename Container, typename Value>
bool includes(const Container &all, const Value &value)
{
    return std::find(all.begin(), all.end(), value) != all.end();
}

/// The crashes of a part under the requests of one customer or of all.
struct Candidate {
    uint64_t m_part = 0;
    std::optional<uint64_t> m_customer; ///< Nothing: of all.
    struct Crash {
        uint64_t m_customer = 0;
        PartCrash m_crash;
    };
    std::vector<Crash> m_crashes; ///< In the order of their times.
    uint32_t m_probesMade = 0;
    TimePoint m_lastAt{};
    bool m_answeredBefore = false;
};

/// Which part explains the exit of a process.
using Explanations = std::unordered_map<uint64_t, std::vector<uint64_t>>;

bool isExplainedByOther(const Explanations &explained, uint64_t process, uint64_t part)
{
    const auto found = explained.find(process);
    return found != explained.end() && !includes(found->second, part);
}

uint32_t thresholdOf(const PartSettings &settings, const Candidate &candidate)
{
    return candidate.m_customer ? settings.m_customerThreshold : settings.m_fleetThreshold;
}

/// Crashes closer to each other may have one cause outside the part.
Millis crashInterval(const PartSettings &settings, bool answeredBefore)
{
    return answeredBefore ? settings.m_outageDuration : settings.m_minCrashInterval;
}

/// The crashes of @p candidate that count: of different processes, under different requests, at
/// different moments, and not explained by another part.
uint32_t countIndependentCrashes(const PartSettings &settings, const Candidate &candidate,
                                 const Explanations &explained)
{
    std::unordered_set<uint64_t> processes;
    std::unordered_set<uint64_t> requests;
    std::unordered_map<uint64_t, uint32_t> ofCustomer;
    std::optional<TimePoint> last;
    const Millis interval = crashInterval(settings, candidate.m_answeredBefore);
    for (const auto &[customer, crash] : candidate.m_crashes) {
        if (isExplainedByOther(explained, crash.m_process, candidate.m_part)
            || processes.count(crash.m_process) > 0 || requests.count(crash.m_request) > 0
            || (last && crash.m_at - *last < interval))
            continue;
        if (!candidate.m_customer && ofCustomer[customer] >= settings.m_maxCrashesOfCustomer)
            continue;
        ++ofCustomer[customer];
        processes.insert(crash.m_process);
        requests.insert(crash.m_request);
        last = crash.m_at;
    }
    return static_cast<uint32_t>(processes.size());
}

std::vector<uint64_t> unexplainedProcesses(const Candidate &candidate,
                                           const Explanations &explained)
{
    std::vector<uint64_t> processes;
    for (const auto &[customer, crash] : candidate.m_crashes) {
        if (!isExplainedByOther(explained, crash.m_process, candidate.m_part)
            && !includes(processes, crash.m_process))
            processes.push_back(crash.m_process);
    }
    std::sort(processes.begin(), processes.end());
    return processes;
}

void addTo(Candidate &candidate, uint64_t customer, const SuspectPart &suspect)
{
    for (const PartCrash &crash : suspect.m_crashes)
        candidate.m_crashes.push_back({ customer, crash });
    candidate.m_probesMade = std::max(candidate.m_probesMade, suspect.m_probesMade);
    candidate.m_lastAt = std::max(candidate.m_lastAt, suspect.m_lastAt);
    candidate.m_answeredBefore = candidate.m_answeredBefore || suspect.m_answeredBefore;
}

/// The candidates with enough crashes, those with the most processes first.
std::vector<Candidate> candidatesOf(const PartTable &table)
{
    std::vector<Candidate> candidates;
    std::unordered_map<uint64_t, Candidate> ofAll;
    for (const auto &[key, suspect] : table.m_suspects) {
        Candidate &all = ofAll[key.m_part];
        all.m_part = key.m_part;
        addTo(all, key.m_customer, suspect);
        if (suspect.m_crashes.size() < table.m_settings.m_customerThreshold)
            continue;
        Candidate one{ key.m_part, key.m_customer, {}, 0, {} };
        addTo(one, key.m_customer, suspect);
        candidates.push_back(std::move(one));
    }
    for (auto &[part, candidate] : ofAll) {
        if (candidate.m_crashes.size() >= table.m_settings.m_fleetThreshold)
            candidates.push_back(std::move(candidate));
    }
    for (Candidate &candidate : candidates) {
        std::sort(candidate.m_crashes.begin(), candidate.m_crashes.end(),
                  [](const auto &left, const auto &right) {
                      return std::pair(left.m_crash.m_at, left.m_crash.m_process)
                             < std::pair(right.m_crash.m_at, right.m_crash.m_process);
                  });
    }
    const auto processes = [](const Candidate &candidate) {
        return unexplainedProcesses(candidate, {}).size();
    };
    std::sort(candidates.begin(), candidates.end(),
              [&processes](const Candidate &left, const Candidate &right) {
                  const size_t a = processes(left);
                  const size_t b = processes(right);
                  if (a != b)
                      return a > b;
                  return std::pair(left.m_customer, left.m_part)
                         < std::pair(right.m_customer, right.m_part);
              });
    return candidates;
}

/// Candidates that were present at the same crashes as @p of, including it.
std::vector<uint64_t> inseparableFrom(const Candidate &of, const std::vector<Candidate> &candidates,
                                      const Explanations &explained)
{
    const auto processes = unexplainedProcesses(of, explained);
    std::vector<uint64_t> parts;
    for (const Candidate &candidate : candidates) {
        if (candidate.m_customer == of.m_customer
            && unexplainedProcesses(candidate, explained) == processes)
            parts.push_back(candidate.m_part);
    }
    return parts;
}

bool coveredBy(const std::vector<PartQuarantine> &quarantines, const Candidate &candidate)
{
    return std::any_of(quarantines.begin(), quarantines.end(), [&](const PartQuarantine &one) {
        return one.m_customer == candidate.m_customer && includes(one.m_parts, candidate.m_part);
    });
}

/// Derives the quarantines from the suspects.
void updateQuarantines(PartTable &table)
{
    table.m_quarantines.clear();
    table.m_explained.clear();
    const std::vector<Candidate> candidates = candidatesOf(table);
    Explanations explained;
    for (const Candidate &candidate : candidates) {
        if (coveredBy(table.m_quarantines, candidate)
            || countIndependentCrashes(table.m_settings, candidate, explained)
                   < thresholdOf(table.m_settings, candidate))
            continue;
        PartQuarantine quarantine;
        quarantine.m_parts = inseparableFrom(candidate, candidates, explained);
        quarantine.m_customer = candidate.m_customer;
        quarantine.m_probesMade = candidate.m_probesMade;
        quarantine.m_lastAt = candidate.m_lastAt;
        for (const auto &[customer, crash] : candidate.m_crashes) {
            if (isExplainedByOther(explained, crash.m_process, candidate.m_part))
                continue;
            explained[crash.m_process] = quarantine.m_parts;
            table.m_explained.insert(crash.m_process);
        }
        table.m_quarantines.push_back(std::move(quarantine));
    }
}

bool applies(const PartQuarantine &quarantine, const PromptParts &prompt)
{
    return (!quarantine.m_customer || *quarantine.m_customer == prompt.m_customer)
           && std::all_of(quarantine.m_parts.begin(), quarantine.m_parts.end(),
                          [&prompt](uint64_t part) { return includes(prompt.m_parts, part); });
}

TimePoint probeDue(const PartSettings &settings, const PartQuarantine &quarantine)
{
    if (quarantine.m_probesMade >= settings.m_maxProbes)
        return quarantine.m_lastAt + settings.m_retention;
    return quarantine.m_lastAt + settings.m_probeDelay * (1 << quarantine.m_probesMade);
}

/// Whether requests are refused now that were not before.
bool refusesMore(const PartTable &table, const std::vector<PartQuarantine> &before)
{
    return std::any_of(
        table.m_quarantines.begin(), table.m_quarantines.end(),
        [&before](const PartQuarantine &now) {
            return std::none_of(before.begin(), before.end(), [&now](const PartQuarantine &known) {
                return known.m_parts == now.m_parts && known.m_customer == now.m_customer;
            });
        });
}

bool isCleared(const PartTable &table, const PartKey &key, uint64_t process)
{
    const auto cleared = table.m_cleared.find(key);
    return cleared != table.m_cleared.end() && includes(cleared->second.m_processes, process);
}

/// If the table is full, removes the suspect with the fewest crashes, the oldest one of several.
void evictPart(PartTable &table)
{
    if (table.m_suspects.size() < table.m_settings.m_maxParts)
        return;
    table.m_suspects.erase(std::min_element(
        table.m_suspects.begin(), table.m_suspects.end(), [](const auto &left, const auto &right) {
            return std::pair(left.second.m_crashes.size(), left.second.m_lastAt)
                   < std::pair(right.second.m_crashes.size(), right.second.m_lastAt);
        }));
}

SuspectPart &findOrAddPart(PartTable &table, const PartKey &key)
{
    const auto known = table.m_suspects.find(key);
    if (known != table.m_suspects.end())
        return known->second;
    evictPart(table);
    SuspectPart &suspect = table.m_suspects[key];
    suspect.m_answeredBefore = wasAnswered(table.m_answered, key.m_part);
    return suspect;
}

/// Makes room for @p crash if it is at another moment than all of @p crashes, by removing one that
/// is too close to another one to count. False if there is none.
bool makeRoom(std::vector<PartCrash> &crashes, const PartCrash &crash, Millis interval)
{
    const bool counts = std::all_of(crashes.begin(), crashes.end(), [&](const PartCrash &one) {
        return std::max(one.m_at, crash.m_at) - std::min(one.m_at, crash.m_at) >= interval;
    });
    if (!counts)
        return false;
    std::sort(crashes.begin(), crashes.end(),
              [](const PartCrash &left, const PartCrash &right) { return left.m_at < right.m_at; });
    TimePoint last = crashes.front().m_at;
    for (auto one = crashes.begin() + 1; one != crashes.end(); ++one) {
        if (one->m_at - last < interval) {
            crashes.erase(one);
            return true;
        }
        last = one->m_at;
    }
    return false;
}

/// Adds a crash, or moves a known one to its earlier time. False if nothing changed.
bool addCrash(const PartTable &table, SuspectPart &suspect, const PartCrash &crash)
{
    auto &crashes = suspect.m_crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const PartCrash &one) {
        return one.m_process == crash.m_process && one.m_request == crash.m_request;
    });
    if (known != crashes.end()) {
        known->m_at = std::min(known->m_at, crash.m_at);
        return false;
    }
    const Millis interval = crashInterval(table.m_settings, suspect.m_answeredBefore);
    if (crashes.size() >= table.m_settings.m_maxCrashes && !makeRoom(crashes, crash, interval))
        return false;
    crashes.push_back(crash);
    return true;
}

PartChange finishChange(PartTable &table)
{
    const std::vector<PartQuarantine> before = std::move(table.m_quarantines);
    updateQuarantines(table);
    return refusesMore(table, before) ? PartChange::Quarantined : PartChange::Known;
}

} // namespace

uint64_t partHash(std::string_view name)
{
    return fingerprintOf({ name }, {}).m_low;
}

uint64_t partCustomerHash(const CustomerId &customer)
{
    return fingerprintOf({ customer.str() }, {}).m_low;
}

PartChange recordPartCrash(PartTable &table, const PartKey &key, const PartCrash &crash,
                           TimePoint now)
{
    if (isCleared(table, key, crash.m_process))
        return PartChange::None;
    SuspectPart &suspect = findOrAddPart(table, key);
    suspect.m_lastAt = std::max(suspect.m_lastAt, now);
    if (!addCrash(table, suspect, crash))
        return PartChange::None;
    return finishChange(table);
}

PartChange mergePartReport(PartTable &table, const PartReport &report, TimePoint now)
{
    const TimePoint lastAt = timeOf(report.m_ageMs, table.m_settings.m_retention, now);
    std::vector<PartCrash> crashes;
    for (const PartCrashReport &crash : report.m_crashes) {
        if (!isCleared(table, report.m_key, crash.m_process))
            crashes.push_back({ crash.m_process, crash.m_request,
                                timeOf(crash.m_ageMs, table.m_settings.m_retention, now) });
    }
    if (crashes.empty() || now - lastAt >= table.m_settings.m_retention)
        return PartChange::None;
    SuspectPart &suspect = findOrAddPart(table, report.m_key);
    bool changed = report.m_probesMade > suspect.m_probesMade
                   || (report.m_answeredBefore && !suspect.m_answeredBefore);
    suspect.m_answeredBefore = suspect.m_answeredBefore || report.m_answeredBefore;
    suspect.m_probesMade = std::max(suspect.m_probesMade, report.m_probesMade);
    suspect.m_lastAt = std::max(suspect.m_lastAt, lastAt);
    for (const PartCrash &crash : crashes)
        changed = addCrash(table, suspect, crash) || changed;
    return changed ? finishChange(table) : PartChange::None;
}

bool clearPart(PartTable &table, const PartKey &key, const std::vector<uint64_t> &processes,
               TimePoint now)
{
    std::vector<uint64_t> all = processes;
    const auto suspect = table.m_suspects.find(key);
    bool changed = suspect != table.m_suspects.end();
    if (changed) {
        for (const PartCrash &crash : suspect->second.m_crashes)
            all.push_back(crash.m_process);
        table.m_suspects.erase(suspect);
    }
    std::erase_if(all, [&](uint64_t process) { return isCleared(table, key, process); });
    changed = changed || !all.empty();
    if (!all.empty()) {
        auto &entries = table.m_cleared;
        if (entries.count(key) == 0 && entries.size() >= table.m_settings.m_maxParts)
            entries.erase(std::min_element(entries.begin(), entries.end(),
                                           [](const auto &left, const auto &right) {
                                               return left.second.m_at < right.second.m_at;
                                           }));
        ClearedPart &cleared = entries[key];
        cleared.m_at = now;
        cleared.m_processes.insert(cleared.m_processes.end(), all.begin(), all.end());
        const size_t most = table.m_settings.m_maxCrashes;
        if (cleared.m_processes.size() > most)
            cleared.m_processes.erase(cleared.m_processes.begin(),
                                      cleared.m_processes.end() - static_cast<ptrdiff_t>(most));
    }
    if (changed)
        updateQuarantines(table);
    return changed;
}

std::vector<PartKey> suspectKeysOf(const PartTable &table, const PromptParts &prompt)
{
    std::vector<PartKey> keys;
    for (const auto &[key, suspect] : table.m_suspects) {
        if (includes(prompt.m_parts, key.m_part))
            keys.push_back(key);
    }
    return keys;
}

PartDecision decidePrompt(const PartTable &table, const PromptParts &prompt, bool mayProbe,
                          TimePoint now)
{
    PartDecision decision;
    for (const PartQuarantine &quarantine : table.m_quarantines) {
        if (!applies(quarantine, prompt))
            continue;
        const Duration wait = probeDue(table.m_settings, quarantine) - now;
        if (wait <= Duration::zero() && mayProbe) {
            decision.m_isProbe = true;
            continue;
        }
        decision.m_allowed = false;
        decision.m_nextTryAfter = std::max<Duration>(
            { decision.m_nextTryAfter, wait, Duration(table.m_settings.m_probeTurn) });
    }
    decision.m_isProbe = decision.m_isProbe && decision.m_allowed;
    return decision;
}

std::vector<PartKey> recordPartProbe(PartTable &table, const PromptParts &prompt, TimePoint now)
{
    std::vector<PartKey> changed;
    for (const PartQuarantine &quarantine : table.m_quarantines) {
        if (!applies(quarantine, prompt))
            continue;
        for (auto &[key, suspect] : table.m_suspects) {
            if (!includes(quarantine.m_parts, key.m_part)
                || (quarantine.m_customer && *quarantine.m_customer != key.m_customer))
                continue;
            suspect.m_probesMade = quarantine.m_probesMade + 1;
            suspect.m_lastAt = now;
            changed.push_back(key);
        }
    }
    if (!changed.empty())
        updateQuarantines(table);
    return changed;
}

bool mayProbeParts(const PartTable &table, const PromptParts &prompt, const VmId &self,
                   const std::vector<VmId> &peers, const CellView &cell, TimePoint now)
{
    const auto quarantine =
        std::find_if(table.m_quarantines.begin(), table.m_quarantines.end(),
                     [&prompt](const PartQuarantine &one) { return applies(one, prompt); });
    if (quarantine == table.m_quarantines.end())
        return false;
    const Duration late = now - probeDue(table.m_settings, *quarantine);
    if (late < Duration::zero())
        return false;
    const ProbeTurn turn =
        probeTurn(quarantine->m_parts.front(), late, table.m_settings.m_probeTurn);
    return isCellsTurn(turn, cell) && isAmongFirst(turn, self, peers, 1);
}

std::vector<PartReport> partReports(const PartTable &table, const std::vector<PartKey> &keys,
                                    TimePoint now)
{
    std::vector<PartReport> reports;
    for (const PartKey &key : keys) {
        const auto suspect = table.m_suspects.find(key);
        if (suspect == table.m_suspects.end())
            continue;
        PartReport report;
        report.m_key = key;
        for (const PartCrash &crash : suspect->second.m_crashes)
            report.m_crashes.push_back(
                { crash.m_process, crash.m_request, ageOf(crash.m_at, now) });
        report.m_probesMade = suspect->second.m_probesMade;
        report.m_ageMs = ageOf(suspect->second.m_lastAt, now);
        report.m_answeredBefore = suspect->second.m_answeredBefore;
        reports.push_back(std::move(report));
    }
    return reports;
}

std::vector<PartKey> suspectPartKeys(const PartTable &table)
{
    const std::vector<PartKey> quarantined = quarantinedPartKeys(table);
    std::vector<PartKey> keys;
    for (const auto &[key, suspect] : table.m_suspects)
        keys.push_back(key);
    const auto rank = [&](const PartKey &key) {
        return std::tuple(includes(quarantined, key) ? 0 : 1,
                          -static_cast<int>(table.m_suspects.at(key).m_crashes.size()), key);
    };
    std::sort(keys.begin(), keys.end(), [&rank](const PartKey &left, const PartKey &right) {
        return rank(left) < rank(right);
    });
    return keys;
}

std::vector<PartKey> quarantinedPartKeys(const PartTable &table)
{
    std::vector<PartKey> keys;
    for (const auto &[key, suspect] : table.m_suspects) {
        const bool quarantined =
            std::any_of(table.m_quarantines.begin(), table.m_quarantines.end(),
                        [&key = key](const PartQuarantine &one) {
                            return includes(one.m_parts, key.m_part)
                                   && (!one.m_customer || *one.m_customer == key.m_customer);
                        });
        if (quarantined)
            keys.push_back(key);
    }
    return keys;
}

void dropExpiredParts(PartTable &table, TimePoint now)
{
    const std::vector<PartKey> quarantined = quarantinedPartKeys(table);
    const size_t removed = std::erase_if(table.m_suspects, [&](const auto &entry) {
        const Duration age = now - entry.second.m_lastAt;
        return age > (includes(quarantined, entry.first) ? table.m_settings.m_retention
                                                         : table.m_settings.m_suspectRetention);
    });
    if (removed > 0)
        updateQuarantines(table);
}

} // namespace stackquay
