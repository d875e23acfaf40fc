#include "policy/crash_suspects.h"

#include <algorithm>

namespace stackquay {

namespace {

/// A crash follows within a few hundred ms of an attempt, so the outcome is known after this time.
constexpr Millis BusyRetryDelay{ 1'000 };

bool quarantined(const SuspectTable &table, const Suspect &suspect)
{
    return suspect.m_crashes.size() >= table.m_settings.m_quarantineThreshold;
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
    return table.m_suspects[fingerprint];
}

bool contains(const std::vector<uint64_t> &ends, uint64_t process)
{
    return std::find(ends.begin(), ends.end(), process) != ends.end();
}

bool addCrash(const SuspectTable &table, Suspect &suspect, uint64_t process)
{
    if (quarantined(table, suspect) || contains(suspect.m_crashes, process))
        return false;
    suspect.m_crashes.push_back(process);
    return true;
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

SuspectDecision handleQuarantined(const SuspectSettings &settings, const Suspect &suspect,
                                  bool inFlight, TimePoint now)
{
    if (suspect.m_probesMade >= settings.m_maxProbes)
        return { SuspectHandling::Quarantined, suspect.m_lastAt + settings.m_retention - now };
    const TimePoint due = suspect.m_lastAt + settings.m_probeDelay * (1 << suspect.m_probesMade);
    if (now < due)
        return { SuspectHandling::Quarantined, due - now };
    if (inFlight)
        return { SuspectHandling::Busy, BusyRetryDelay };
    return { SuspectHandling::LowLoad };
}

} // namespace

uint64_t processKey(const EndpointId &endpoint, uint64_t startedMs)
{
    return stableHash(endpoint.str(), startedMs);
}

SuspectChange recordCrash(SuspectTable &table, const Fingerprint &fingerprint, uint64_t process,
                          TimePoint now)
{
    if (isCleared(table, fingerprint, process))
        return SuspectChange::None;
    Suspect &suspect = findOrAddSuspect(table, fingerprint);
    suspect.m_lastAt = std::max(suspect.m_lastAt, now);
    if (!addCrash(table, suspect, process))
        return SuspectChange::None;
    return quarantined(table, suspect) ? SuspectChange::Quarantined : SuspectChange::Known;
}

SuspectChange mergeSuspectReport(SuspectTable &table, const SuspectReport &report, TimePoint now)
{
    const Duration age = Millis(std::min<uint64_t>(
        report.m_ageMs, std::chrono::duration_cast<Millis>(table.m_settings.m_retention).count()));
    std::vector<uint64_t> ends = report.m_crashes;
    std::erase_if(
        ends, [&](uint64_t process) { return isCleared(table, report.m_fingerprint, process); });
    if (ends.empty() || age >= table.m_settings.m_retention)
        return SuspectChange::None;
    Suspect &suspect = findOrAddSuspect(table, report.m_fingerprint);
    const bool before = quarantined(table, suspect);
    bool changed = false;
    for (const uint64_t process : ends)
        changed = addCrash(table, suspect, process) || changed;
    changed = changed || report.m_probesMade > suspect.m_probesMade;
    suspect.m_probesMade = std::max(suspect.m_probesMade, report.m_probesMade);
    suspect.m_lastAt = std::max(suspect.m_lastAt, now - age);
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
    if (suspect != table.m_suspects.end())
        all.insert(all.end(), suspect->second.m_crashes.begin(), suspect->second.m_crashes.end());
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
        std::erase_if(suspect.m_crashes,
                      [&processes](uint64_t process) { return processes.count(process) > 0; });
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
                              const LoadKey &own, TimePoint now)
{
    const SuspectSettings &settings = table.m_settings;
    const auto known = table.m_suspects.find(fingerprint);
    if (known == table.m_suspects.end() || now - known->second.m_lastAt > settings.m_retention)
        return {};
    const Suspect &suspect = known->second;
    const size_t tries = attemptsInFlight(table, fingerprint, own, now);
    if (quarantined(table, suspect)) {
        const auto begun = table.m_attempts.find(own);
        const bool ownProbe = begun != table.m_attempts.end() && begun->second.m_isProbe;
        return ownProbe ? SuspectDecision{ SuspectHandling::LowLoad }
                        : handleQuarantined(settings, suspect, tries > 0, now);
    }
    const size_t remaining = settings.m_quarantineThreshold - suspect.m_crashes.size();
    if (tries >= remaining)
        return { SuspectHandling::Busy, BusyRetryDelay };
    return { suspectHandling(table, fingerprint) };
}

void beginSuspectAttempt(SuspectTable &table, const Fingerprint &fingerprint, const LoadKey &key,
                         TimePoint until, TimePoint now)
{
    const auto known = table.m_suspects.find(fingerprint);
    if (known == table.m_suspects.end())
        return;
    std::erase_if(table.m_attempts,
                  [now](const auto &entry) { return entry.second.m_until <= now; });
    Suspect &suspect = known->second;
    const bool probe = quarantined(table, suspect);
    const bool first =
        table.m_attempts.emplace(key, SuspectAttempt{ fingerprint, until, probe }).second;
    if (!first || !probe)
        return;
    ++suspect.m_probesMade;
    suspect.m_lastAt = std::max(suspect.m_lastAt, now);
}

void endSuspectAttempt(SuspectTable &table, const LoadKey &key)
{
    table.m_attempts.erase(key);
}

std::vector<SuspectReport> suspectReports(const SuspectTable &table, size_t most, TimePoint now)
{
    std::vector<SuspectReport> all;
    for (const auto &[fingerprint, suspect] : table.m_suspects) {
        const auto age = std::chrono::duration_cast<Millis>(now - suspect.m_lastAt).count();
        all.push_back({ fingerprint, suspect.m_crashes, suspect.m_probesMade,
                        static_cast<uint64_t>(std::max<Millis::rep>(age, 0)) });
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

bool isQuarantined(const SuspectTable &table, const SuspectReport &report)
{
    return report.m_crashes.size() >= table.m_settings.m_quarantineThreshold;
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
