#include "policy/crash_suspects.h"

#include <algorithm>

#include "policy/probe_turn.h"
#include "policy/report_age.h"

namespace stackquay {

namespace {

/// A crash follows within a few hundred ms of an attempt, so the outcome is known after this time.
constexpr Millis BusyRetryDelay{ 1'000 };

/// An attempt that begins sooner after a crash may end for the same cause as that one.
Duration eventInterval(const SuspectSettings &settings, const Suspect &suspect)
{
    return suspect.m_answeredBefore ? settings.m_outageDuration : settings.m_minCrashInterval;
}

/// The number of @p crashes of which each one's attempt began after the one before.
size_t countEvents(std::vector<SuspectCrash> crashes, Duration interval)
{
    std::sort(
        crashes.begin(), crashes.end(),
        [](const SuspectCrash &left, const SuspectCrash &right) { return left.m_at < right.m_at; });
    size_t events = 0;
    TimePoint last{};
    for (const SuspectCrash &crash : crashes) {
        if (events > 0 && crash.m_begun - last < interval)
            continue;
        ++events;
        last = crash.m_at;
    }
    return events;
}

/// The crashes up to the last confirmed one. Later ones may be failures of this VM's path.
std::vector<SuspectCrash> provenCrashes(const Suspect &suspect)
{
    std::vector<SuspectCrash> crashes = suspect.m_crashes;
    TimePoint lastConfirmed{};
    for (const SuspectCrash &crash : crashes) {
        if (crash.m_confirmed)
            lastConfirmed = std::max(lastConfirmed, crash.m_at);
    }
    std::erase_if(crashes,
                  [lastConfirmed](const SuspectCrash &one) { return one.m_at > lastConfirmed; });
    return crashes;
}

bool isolated(const SuspectTable &table, const Suspect &suspect)
{
    return suspect.m_crashes.size() >= table.m_settings.m_quarantineThreshold;
}

bool quarantined(const SuspectTable &table, const Suspect &suspect)
{
    const std::vector<SuspectCrash> crashes = provenCrashes(suspect);
    return crashes.size() >= table.m_settings.m_quarantineThreshold
           && countEvents(crashes, eventInterval(table.m_settings, suspect))
                  >= table.m_settings.m_minEvents;
}

/// If the table is full, removes the suspect with the fewest crashes, the oldest one of several.
void evictSuspect(SuspectTable &table)
{
    if (table.m_suspects.size() < table.m_settings.m_maxSuspects)
        return;
    const auto least = std::min_element(table.m_suspects.begin(), table.m_suspects.end(),
                                        [](const auto &left, const auto &right) {
                                            const Suspect &a = left.second;
                                            const Suspect &b = right.second;
                                            return std::pair(a.m_crashes.size(), a.m_lastAt)
                                                   < std::pair(b.m_crashes.size(), b.m_lastAt);
                                        });
    const Fingerprint fingerprint = least->first;
    removeSuspect(table, fingerprint);
}

Suspect &findOrAddSuspect(SuspectTable &table, const Fingerprint &fingerprint)
{
    const auto known = table.m_suspects.find(fingerprint);
    if (known != table.m_suspects.end())
        return known->second;
    evictSuspect(table);
    ++table.m_suspectsPerOutline[fingerprint.m_outline];
    Suspect &suspect = table.m_suspects[fingerprint];
    suspect.m_answeredBefore = wasAnswered(table.m_answered, fingerprint.m_low);
    return suspect;
}

bool contains(const std::vector<uint64_t> &ends, uint64_t process)
{
    return std::find(ends.begin(), ends.end(), process) != ends.end();
}

/// Merges two records of one crash. False if nothing that other VMs need changed.
bool mergeCrash(SuspectCrash &known, const SuspectCrash &crash)
{
    known.m_begun = std::min(known.m_begun, crash.m_begun);
    known.m_at = std::min(known.m_at, crash.m_at);
    return !std::exchange(known.m_confirmed, known.m_confirmed || crash.m_confirmed)
           && known.m_confirmed;
}

/// Of an isolated suspect, keeps only a crash that is another event.
bool addCrash(const SuspectTable &table, Suspect &suspect, const SuspectCrash &crash)
{
    auto &crashes = suspect.m_crashes;
    const auto known = std::find_if(crashes.begin(), crashes.end(), [&](const SuspectCrash &one) {
        return one.m_process == crash.m_process;
    });
    if (known != crashes.end())
        return mergeCrash(*known, crash);
    if (quarantined(table, suspect))
        return false;
    const Duration interval = eventInterval(table.m_settings, suspect);
    const size_t before = countEvents(crashes, interval);
    const bool wasIsolated = isolated(table, suspect);
    crashes.push_back(crash);
    if (!wasIsolated || countEvents(crashes, interval) > before)
        return true;
    crashes.pop_back();
    return false;
}

/// Whether @p crash is that of a probe of a quarantined suspect.
bool isFailedProbe(const SuspectTable &table, const Suspect &suspect, const SuspectCrash &crash)
{
    return quarantined(table, suspect) && crash.m_confirmed && crash.m_begun >= suspect.m_lastAt;
}

bool isCleared(const SuspectTable &table, const Fingerprint &fingerprint, uint64_t process)
{
    if (table.m_excused.count(process) > 0)
        return true;
    const auto cleared = table.m_cleared.find(fingerprint);
    return cleared != table.m_cleared.end() && contains(cleared->second.m_crashes, process);
}

/// Finds or adds the entry of a cleared request; if the table is full, the oldest entry is removed.
ClearedCrashes &findOrAddCleared(SuspectTable &table, const Fingerprint &fingerprint)
{
    auto &all = table.m_cleared;
    if (all.count(fingerprint) == 0 && all.size() >= table.m_settings.m_maxSuspects)
        all.erase(std::min_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
            return left.second.m_at < right.second.m_at;
        }));
    return all[fingerprint];
}

size_t attemptsInFlight(const SuspectTable &table, const Fingerprint &fingerprint,
                        const LoadKey &own, TimePoint now)
{
    return static_cast<size_t>(
        std::count_if(table.m_attempts.begin(), table.m_attempts.end(), [&](const auto &entry) {
            const auto &[key, attempt] = entry;
            return attempt.m_fingerprint == fingerprint && attempt.m_until > now && !(key == own);
        }));
}

/// Of probes that several VMs began at the same time, one goes on: the one with the lowest key.
bool isFirstProbe(const SuspectTable &table, const Fingerprint &fingerprint, const LoadKey &own,
                  TimePoint now)
{
    const auto begun = table.m_attempts.find(own);
    if (begun == table.m_attempts.end() || !begun->second.m_isProbe)
        return false;
    return std::none_of(table.m_attempts.begin(), table.m_attempts.end(), [&](const auto &entry) {
        const auto &[key, attempt] = entry;
        return attempt.m_fingerprint == fingerprint && attempt.m_until > now && key < own;
    });
}

TimePoint probeDue(const SuspectTable &table, const Suspect &suspect)
{
    const SuspectSettings &settings = table.m_settings;
    if (!quarantined(table, suspect))
        return suspect.m_lastAt + eventInterval(settings, suspect);
    const TimePoint due =
        suspect.m_failedProbes >= settings.m_maxProbes
            ? suspect.m_lastAt + settings.m_retention
            : suspect.m_lastAt + settings.m_probeDelay * (1 << suspect.m_failedProbes);
    return suspect.m_probedAt == TimePoint{}
               ? due
               : std::max<TimePoint>(due, suspect.m_probedAt + settings.m_probeTurn);
}

SuspectDecision handleIsolated(const SuspectTable &table, const Suspect &suspect, bool inFlight,
                               bool mayProbe, TimePoint now)
{
    const Duration wait = probeDue(table, suspect) - now;
    if (wait <= Duration::zero() && mayProbe && !inFlight)
        return { SuspectHandling::LowLoad };
    if (!quarantined(table, suspect))
        return { SuspectHandling::Busy, std::max<Duration>(wait, BusyRetryDelay) };
    if (wait > Duration::zero())
        return { SuspectHandling::Quarantined, wait };
    if (inFlight)
        return { SuspectHandling::Busy, BusyRetryDelay };
    return { SuspectHandling::Quarantined, table.m_settings.m_probeTurn };
}

std::vector<SuspectCrash> crashesOf(const SuspectReport &report, const SuspectSettings &settings,
                                    TimePoint now)
{
    std::vector<SuspectCrash> crashes;
    for (size_t i = 0; i < report.m_crashes.size(); ++i) {
        const bool known = i < report.m_ages.size();
        const SuspectCrashAges ages =
            known ? report.m_ages[i] : SuspectCrashAges{ report.m_ageMs, report.m_ageMs };
        crashes.push_back({ report.m_crashes[i], timeOf(ages.m_begunMs, settings.m_retention, now),
                            timeOf(ages.m_endedMs, settings.m_retention, now) });
    }
    return crashes;
}

} // namespace

uint64_t processKey(const EndpointId &endpoint, uint64_t startedMs)
{
    return stableHash(endpoint.str(), startedMs);
}

SuspectChange recordCrash(SuspectTable &table, const Fingerprint &fingerprint,
                          const SuspectCrash &crash, TimePoint now)
{
    if (isCleared(table, fingerprint, crash.m_process))
        return SuspectChange::None;
    Suspect &suspect = findOrAddSuspect(table, fingerprint);
    const bool failedProbe = isFailedProbe(table, suspect, crash);
    const bool before = quarantined(table, suspect);
    const bool added = addCrash(table, suspect, crash);
    suspect.m_lastAt = std::max({ suspect.m_lastAt, crash.m_at, added ? now : TimePoint{} });
    if (failedProbe)
        ++suspect.m_failedProbes;
    if (!added && !failedProbe)
        return SuspectChange::None;
    return failedProbe || (!before && quarantined(table, suspect)) ? SuspectChange::Quarantined
                                                                   : SuspectChange::Known;
}

SuspectChange mergeSuspectReport(SuspectTable &table, const SuspectReport &report, TimePoint now)
{
    const TimePoint lastAt = timeOf(report.m_ageMs, table.m_settings.m_retention, now);
    std::vector<SuspectCrash> crashes = crashesOf(report, table.m_settings, now);
    std::erase_if(crashes, [&](const SuspectCrash &crash) {
        return isCleared(table, report.m_fingerprint, crash.m_process);
    });
    if (crashes.empty() || now - lastAt >= table.m_settings.m_retention)
        return SuspectChange::None;
    Suspect &suspect = findOrAddSuspect(table, report.m_fingerprint);
    const bool before = quarantined(table, suspect);
    bool changed = report.m_failedProbes > suspect.m_failedProbes
                   || (report.m_answeredBefore && !suspect.m_answeredBefore);
    suspect.m_answeredBefore = suspect.m_answeredBefore || report.m_answeredBefore;
    for (const SuspectCrash &crash : crashes)
        changed = addCrash(table, suspect, crash) || changed;
    suspect.m_failedProbes = std::max(suspect.m_failedProbes, report.m_failedProbes);
    suspect.m_lastAt = std::max(suspect.m_lastAt, lastAt);
    if (!changed)
        return SuspectChange::None;
    return !before && quarantined(table, suspect) ? SuspectChange::Quarantined
                                                  : SuspectChange::Known;
}

bool removeSuspect(SuspectTable &table, const Fingerprint &fingerprint)
{
    const auto suspect = table.m_suspects.find(fingerprint);
    if (suspect == table.m_suspects.end())
        return false;
    table.m_suspects.erase(suspect);
    const auto outline = table.m_suspectsPerOutline.find(fingerprint.m_outline);
    if (--outline->second == 0)
        table.m_suspectsPerOutline.erase(outline);
    return true;
}

bool markCleared(SuspectTable &table, const Fingerprint &fingerprint,
                 const std::vector<uint64_t> &ends, TimePoint now)
{
    std::vector<uint64_t> all = ends;
    const auto suspect = table.m_suspects.find(fingerprint);
    if (suspect != table.m_suspects.end()) {
        for (const SuspectCrash &crash : suspect->second.m_crashes)
            all.push_back(crash.m_process);
    }
    bool changed = removeSuspect(table, fingerprint);
    for (const uint64_t process : all) {
        if (isCleared(table, fingerprint, process))
            continue;
        ClearedCrashes &cleared = findOrAddCleared(table, fingerprint);
        if (cleared.m_crashes.size() >= table.m_settings.m_maxClearedCrashes)
            cleared.m_crashes.erase(cleared.m_crashes.begin());
        cleared.m_crashes.push_back(process);
        cleared.m_at = now;
        changed = true;
    }
    return changed;
}

void excuseCrashes(SuspectTable &table, const std::unordered_set<uint64_t> &processes)
{
    table.m_excused = processes;
    std::vector<Fingerprint> innocent;
    for (auto &[fingerprint, suspect] : table.m_suspects) {
        std::erase_if(suspect.m_crashes, [&processes](const SuspectCrash &crash) {
            return processes.count(crash.m_process) > 0;
        });
        if (suspect.m_crashes.empty())
            innocent.push_back(fingerprint);
    }
    for (const Fingerprint &fingerprint : innocent)
        removeSuspect(table, fingerprint);
}

SuspectHandling suspectHandling(const SuspectTable &table, const Fingerprint &fingerprint)
{
    const auto suspect = table.m_suspects.find(fingerprint);
    if (suspect == table.m_suspects.end())
        return SuspectHandling::None;
    const bool lowLoad =
        suspect->second.m_crashes.size() + 1 >= table.m_settings.m_quarantineThreshold;
    return lowLoad ? SuspectHandling::LowLoad : SuspectHandling::Separate;
}

SuspectDecision decideAttempt(const SuspectTable &table, const Fingerprint &fingerprint,
                              const LoadKey &own, bool mayProbe, TimePoint now)
{
    const SuspectSettings &settings = table.m_settings;
    const auto known = table.m_suspects.find(fingerprint);
    if (known == table.m_suspects.end() || now - known->second.m_lastAt > settings.m_retention)
        return {};
    const Suspect &suspect = known->second;
    const size_t tries = attemptsInFlight(table, fingerprint, own, now);
    if (isolated(table, suspect))
        return isFirstProbe(table, fingerprint, own, now)
                   ? SuspectDecision{ SuspectHandling::LowLoad }
                   : handleIsolated(table, suspect, tries > 0, mayProbe, now);
    const size_t remaining = settings.m_quarantineThreshold - suspect.m_crashes.size();
    if (tries >= remaining)
        return { SuspectHandling::Busy, BusyRetryDelay };
    return { suspectHandling(table, fingerprint) };
}

bool mayProbeSuspect(const SuspectTable &table, const Fingerprint &fingerprint, const VmId &self,
                     const std::vector<VmId> &peers, const CellView &cell, TimePoint now)
{
    const auto known = table.m_suspects.find(fingerprint);
    if (known == table.m_suspects.end() || !isolated(table, known->second))
        return false;
    const SuspectSettings &settings = table.m_settings;
    const Duration late = now - probeDue(table, known->second);
    if (late < Duration::zero())
        return false;
    if (quarantined(table, known->second)) {
        const ProbeTurn turn = probeTurn(fingerprint.m_low, late, settings.m_probeTurn);
        return isCellsTurn(turn, cell) && isAmongFirst(turn, self, peers, 1);
    }
    constexpr int MaxDoublings = 16;
    const auto doublings = std::min<int64_t>(late / settings.m_earlyProbeSpread, MaxDoublings);
    const size_t first = 1 + peers.size() / settings.m_vmsPerEarlyProbe;
    return isAmongFirst(probeTurn(fingerprint.m_low, late, settings.m_earlyProbeTurn), self, peers,
                        first << doublings);
}

void beginSuspectAttempt(SuspectTable &table, const Fingerprint &fingerprint, const LoadKey &key,
                         TimePoint until, TimePoint now)
{
    const auto known = table.m_suspects.find(fingerprint);
    if (known == table.m_suspects.end())
        return;
    std::erase_if(table.m_attempts,
                  [now](const auto &entry) { return entry.second.m_until <= now; });
    const bool probe = isolated(table, known->second);
    table.m_attempts.emplace(key, SuspectAttempt{ fingerprint, until, probe });
    if (probe)
        known->second.m_probedAt = now;
}

void endSuspectAttempt(SuspectTable &table, const LoadKey &key)
{
    table.m_attempts.erase(key);
}

SuspectReport suspectReport(const SuspectTable &table, const Fingerprint &fingerprint,
                            TimePoint now)
{
    SuspectReport report{ fingerprint, {}, 0, 0 };
    const auto known = table.m_suspects.find(fingerprint);
    if (known == table.m_suspects.end())
        return report;
    const Suspect &suspect = known->second;
    report.m_failedProbes = suspect.m_failedProbes;
    report.m_ageMs = ageOf(suspect.m_lastAt, now);
    report.m_answeredBefore = suspect.m_answeredBefore;
    for (const SuspectCrash &crash : provenCrashes(suspect)) {
        report.m_crashes.push_back(crash.m_process);
        report.m_ages.push_back({ ageOf(crash.m_begun, now), ageOf(crash.m_at, now) });
    }
    return report;
}

std::vector<SuspectReport> suspectReports(const SuspectTable &table, size_t most, TimePoint now)
{
    std::vector<SuspectReport> all;
    for (const auto &[fingerprint, suspect] : table.m_suspects) {
        SuspectReport report = suspectReport(table, fingerprint, now);
        if (!report.m_crashes.empty())
            all.push_back(std::move(report));
    }
    std::sort(all.begin(), all.end(), [](const SuspectReport &left, const SuspectReport &right) {
        if (left.m_crashes.size() != right.m_crashes.size())
            return left.m_crashes.size() > right.m_crashes.size();
        return left.m_ageMs < right.m_ageMs;
    });
    if (all.size() > most)
        all.resize(most);
    return all;
}

bool isQuarantined(const SuspectTable &table, const Fingerprint &fingerprint)
{
    const auto known = table.m_suspects.find(fingerprint);
    return known != table.m_suspects.end() && quarantined(table, known->second);
}

void dropExpiredSuspects(SuspectTable &table, TimePoint now)
{
    std::vector<Fingerprint> old;
    for (const auto &[fingerprint, suspect] : table.m_suspects) {
        if (now - suspect.m_lastAt > table.m_settings.m_retention)
            old.push_back(fingerprint);
    }
    for (const Fingerprint &fingerprint : old)
        removeSuspect(table, fingerprint);
}

} // namespace stackquay
