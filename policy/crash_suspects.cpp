#include "policy/crash_suspects.h"

#include <algorithm>

namespace stackquay {

namespace {

/// A try that ends its engine does so within some hundred ms; then the next one is judged anew.
constexpr Millis BusyComeBack{ 1'000 };

bool condemned(const SuspectTable &table, const Suspect &suspect)
{
    return suspect.m_ends.size() >= table.m_settings.m_condemnAt;
}

/// Makes room for one more: the one with the fewest ends goes, the oldest of these.
void makeRoom(SuspectTable &table)
{
    if (table.m_suspects.size() < table.m_settings.m_most)
        return;
    const auto least = std::min_element(
        table.m_suspects.begin(), table.m_suspects.end(), [](const auto &left, const auto &right) {
            const Suspect &a = left.second;
            const Suspect &b = right.second;
            return std::pair(a.m_ends.size(), a.m_lastAt) < std::pair(b.m_ends.size(), b.m_lastAt);
        });
    const Fingerprint print = least->first;
    clearSuspect(table, print);
}

Suspect &suspectOf(SuspectTable &table, const Fingerprint &print)
{
    const auto known = table.m_suspects.find(print);
    if (known != table.m_suspects.end())
        return known->second;
    makeRoom(table);
    ++table.m_outlines[print.m_outline];
    return table.m_suspects[print];
}

bool contains(const std::vector<uint64_t> &ends, uint64_t process)
{
    return std::find(ends.begin(), ends.end(), process) != ends.end();
}

bool addEnd(const SuspectTable &table, Suspect &suspect, uint64_t process)
{
    if (condemned(table, suspect) || contains(suspect.m_ends, process))
        return false;
    suspect.m_ends.push_back(process);
    return true;
}

bool isCleared(const SuspectTable &table, const Fingerprint &print, uint64_t process)
{
    const auto cleared = table.m_cleared.find(print);
    return cleared != table.m_cleared.end() && contains(cleared->second.m_ends, process);
}

/// The cleared ends of @p print, with room made for them if they are the first.
ClearedEnds &clearedOf(SuspectTable &table, const Fingerprint &print)
{
    auto &all = table.m_cleared;
    if (all.count(print) == 0 && all.size() >= table.m_settings.m_most)
        all.erase(std::min_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
            return left.second.m_at < right.second.m_at;
        }));
    return all[print];
}

size_t triesInFlight(const SuspectTable &table, const Fingerprint &print, const LoadKey &own,
                     TimePoint now)
{
    return static_cast<size_t>(
        std::count_if(table.m_tries.begin(), table.m_tries.end(), [&](const auto &entry) {
            const auto &[key, attempt] = entry;
            return attempt.m_print == print && attempt.m_until > now && !(key == own);
        }));
}

SuspectVerdict judgeCondemned(const SuspectSettings &settings, const Suspect &suspect,
                              bool inFlight, TimePoint now)
{
    if (suspect.m_trials >= settings.m_mostTrials)
        return { SuspectCare::Condemned, suspect.m_lastAt + settings.m_forgetAfter - now };
    const TimePoint due = suspect.m_lastAt + settings.m_trialAfter * (1 << suspect.m_trials);
    if (now < due)
        return { SuspectCare::Condemned, due - now };
    if (inFlight)
        return { SuspectCare::Busy, BusyComeBack };
    return { SuspectCare::Alone };
}

} // namespace

uint64_t processName(const EndpointId &endpoint, uint64_t startedMs)
{
    return stableHash(endpoint.str(), startedMs);
}

SuspectChange noteEnd(SuspectTable &table, const Fingerprint &print, uint64_t process,
                      TimePoint now)
{
    if (isCleared(table, print, process))
        return SuspectChange::None;
    Suspect &suspect = suspectOf(table, print);
    suspect.m_lastAt = std::max(suspect.m_lastAt, now);
    if (!addEnd(table, suspect, process))
        return SuspectChange::None;
    return condemned(table, suspect) ? SuspectChange::Condemned : SuspectChange::Known;
}

SuspectChange joinNews(SuspectTable &table, const SuspectNews &news, TimePoint now)
{
    const Duration age = Millis(std::min<uint64_t>(
        news.m_ageMs, std::chrono::duration_cast<Millis>(table.m_settings.m_forgetAfter).count()));
    std::vector<uint64_t> ends = news.m_ends;
    std::erase_if(ends, [&](uint64_t process) { return isCleared(table, news.m_print, process); });
    if (ends.empty() || age >= table.m_settings.m_forgetAfter)
        return SuspectChange::None;
    Suspect &suspect = suspectOf(table, news.m_print);
    const bool before = condemned(table, suspect);
    bool changed = false;
    for (const uint64_t process : ends)
        changed = addEnd(table, suspect, process) || changed;
    changed = changed || news.m_trials > suspect.m_trials;
    suspect.m_trials = std::max(suspect.m_trials, news.m_trials);
    suspect.m_lastAt = std::max(suspect.m_lastAt, now - age);
    if (!changed)
        return SuspectChange::None;
    return !before && condemned(table, suspect) ? SuspectChange::Condemned : SuspectChange::Known;
}

bool clearSuspect(SuspectTable &table, const Fingerprint &print)
{
    const auto suspect = table.m_suspects.find(print);
    if (suspect == table.m_suspects.end())
        return false;
    table.m_suspects.erase(suspect);
    const auto outline = table.m_outlines.find(print.m_outline);
    if (--outline->second == 0)
        table.m_outlines.erase(outline);
    return true;
}

bool noteCleared(SuspectTable &table, const Fingerprint &print, const std::vector<uint64_t> &ends,
                 TimePoint now)
{
    std::vector<uint64_t> all = ends;
    const auto suspect = table.m_suspects.find(print);
    if (suspect != table.m_suspects.end())
        all.insert(all.end(), suspect->second.m_ends.begin(), suspect->second.m_ends.end());
    bool changed = clearSuspect(table, print);
    for (const uint64_t process : all) {
        if (isCleared(table, print, process))
            continue;
        ClearedEnds &cleared = clearedOf(table, print);
        if (cleared.m_ends.size() >= table.m_settings.m_mostClearedEnds)
            cleared.m_ends.erase(cleared.m_ends.begin());
        cleared.m_ends.push_back(process);
        cleared.m_at = now;
        changed = true;
    }
    return changed;
}

SuspectCare placementOf(const SuspectTable &table, const Fingerprint &print)
{
    const auto suspect = table.m_suspects.find(print);
    if (suspect == table.m_suspects.end())
        return SuspectCare::None;
    const bool alone = suspect->second.m_ends.size() + 1 >= table.m_settings.m_condemnAt;
    return alone ? SuspectCare::Alone : SuspectCare::Apart;
}

SuspectVerdict judge(const SuspectTable &table, const Fingerprint &print, const LoadKey &own,
                     TimePoint now)
{
    const SuspectSettings &settings = table.m_settings;
    const auto known = table.m_suspects.find(print);
    if (known == table.m_suspects.end() || now - known->second.m_lastAt > settings.m_forgetAfter)
        return {};
    const Suspect &suspect = known->second;
    const size_t tries = triesInFlight(table, print, own, now);
    if (condemned(table, suspect)) {
        const auto begun = table.m_tries.find(own);
        const bool ownTrial = begun != table.m_tries.end() && begun->second.m_trial;
        return ownTrial ? SuspectVerdict{ SuspectCare::Alone }
                        : judgeCondemned(settings, suspect, tries > 0, now);
    }
    const size_t left = settings.m_condemnAt - suspect.m_ends.size();
    if (tries >= left)
        return { SuspectCare::Busy, BusyComeBack };
    return { placementOf(table, print) };
}

void beginTry(SuspectTable &table, const Fingerprint &print, const LoadKey &key, TimePoint until,
              TimePoint now)
{
    const auto known = table.m_suspects.find(print);
    if (known == table.m_suspects.end())
        return;
    std::erase_if(table.m_tries, [now](const auto &entry) { return entry.second.m_until <= now; });
    Suspect &suspect = known->second;
    const bool trial = condemned(table, suspect);
    const bool first = table.m_tries.emplace(key, SuspectTry{ print, until, trial }).second;
    if (!first || !trial)
        return;
    ++suspect.m_trials;
    suspect.m_lastAt = std::max(suspect.m_lastAt, now);
}

void endTry(SuspectTable &table, const LoadKey &key)
{
    table.m_tries.erase(key);
}

std::vector<SuspectNews> newsOf(const SuspectTable &table, size_t most, TimePoint now)
{
    std::vector<SuspectNews> all;
    for (const auto &[print, suspect] : table.m_suspects) {
        const auto age = std::chrono::duration_cast<Millis>(now - suspect.m_lastAt).count();
        all.push_back({ print, suspect.m_ends, suspect.m_trials,
                        static_cast<uint64_t>(std::max<Millis::rep>(age, 0)) });
    }
    std::sort(all.begin(), all.end(), [](const SuspectNews &left, const SuspectNews &right) {
        if (left.m_ends.size() != right.m_ends.size())
            return left.m_ends.size() > right.m_ends.size();
        return left.m_ageMs < right.m_ageMs;
    });
    if (all.size() > most)
        all.resize(most);
    return all;
}

bool isCondemned(const SuspectTable &table, const SuspectNews &news)
{
    return news.m_ends.size() >= table.m_settings.m_condemnAt;
}

void forgetOldSuspects(SuspectTable &table, TimePoint now)
{
    std::vector<Fingerprint> old;
    for (const auto &[print, suspect] : table.m_suspects) {
        if (now - suspect.m_lastAt > table.m_settings.m_forgetAfter)
            old.push_back(print);
    }
    for (const Fingerprint &print : old)
        clearSuspect(table, print);
}

} // namespace stackquay
