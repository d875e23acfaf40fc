#include "relay/quarantine_record.h"

#include <algorithm>

#include "core/json_fields.h"

namespace stackquay {

namespace {

/// An entry takes about 100 bytes. Quarantined requests are rare: each one points to a bug that
/// people fix.
constexpr size_t MaxEntries = 64;
constexpr const char *ObjectName = "condemned";

int64_t millisOf(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

bool covers(const SuspectReport &known, const SuspectReport &report)
{
    return known.m_crashes.size() >= report.m_crashes.size()
           && known.m_failedProbes >= report.m_failedProbes;
}

/// Whether @p known contains everything that @p reports contains.
bool coversAll(const std::vector<SuspectReport> &known, const std::vector<SuspectReport> &reports)
{
    return std::all_of(reports.begin(), reports.end(), [&known](const SuspectReport &one) {
        return std::any_of(known.begin(), known.end(), [&one](const SuspectReport &other) {
            return other.m_fingerprint == one.m_fingerprint && covers(other, one);
        });
    });
}

/// Ages of the crashes; empty if they are not stored, as by an earlier version.
Result<std::vector<SuspectCrashAges>> readAges(const Json &entry, WallTime now)
{
    std::vector<SuspectCrashAges> ages;
    const auto ageOf = [now](const Json &at) {
        return static_cast<uint64_t>(std::max<int64_t>(millisOf(now) - at.get<int64_t>(), 0));
    };
    for (const Json &times : arrayField(entry, "times")) {
        if (!times.is_array() || times.size() != 2 || !times[0].is_number_integer()
            || !times[1].is_number_integer())
            return makeError(ErrorCode::InvalidArgument, "the times of an end are no two numbers");
        ages.push_back({ ageOf(times[0]), ageOf(times[1]) });
    }
    return ages;
}

Json timesOf(const SuspectReport &report, WallTime now)
{
    const auto timeOf = [now](uint64_t ageMs) {
        return millisOf(now) - static_cast<int64_t>(ageMs);
    };
    Json times = Json::array();
    for (const SuspectCrashAges &ages : report.m_ages)
        times.push_back({ timeOf(ages.m_begunMs), timeOf(ages.m_endedMs) });
    return times;
}

Result<SuspectReport> readEntry(const Json &entry, WallTime now)
{
    if (!entry.is_object())
        return makeError(ErrorCode::InvalidArgument, "an entry is no object");
    SuspectReport report;
    report.m_fingerprint = fingerprintFrom(stringField(entry, "print").value_or(""));
    const auto ends = entry.find("ends");
    const auto trials = entry.find("trials");
    const auto at = entry.find("at_ms");
    const bool complete = report.m_fingerprint != Fingerprint{} && ends != entry.end()
                          && ends->is_array() && trials != entry.end()
                          && trials->is_number_unsigned() && at != entry.end()
                          && at->is_number_integer();
    if (!complete)
        return makeError(ErrorCode::InvalidArgument, "an entry lacks print, ends, trials or at_ms");
    for (const Json &end : *ends) {
        if (!end.is_number_unsigned())
            return makeError(ErrorCode::InvalidArgument, "an end is no name of a process");
        report.m_crashes.push_back(end.get<uint64_t>());
    }
    report.m_failedProbes = trials->get<uint32_t>();
    const auto ages = readAges(entry, now);
    if (!ages)
        return tl::unexpected(ages.error());
    report.m_ages = *ages;
    report.m_answeredBefore = boolField(entry, "answered_before");
    report.m_ageMs =
        static_cast<uint64_t>(std::max<int64_t>(millisOf(now) - at->get<int64_t>(), 0));
    return report;
}

std::vector<SuspectReport> subtractQuarantined(std::vector<SuspectReport> known,
                                               const std::vector<SuspectReport> &removed)
{
    std::erase_if(
        known, [&removed](const SuspectReport &report) { return coversAll(removed, { report }); });
    return known;
}

} // namespace

std::string encodeQuarantined(const std::vector<SuspectReport> &quarantined, WallTime now)
{
    Json entries = Json::array();
    for (const SuspectReport &report : quarantined) {
        entries.push_back({ { "print", toString(report.m_fingerprint) },
                            { "ends", report.m_crashes },
                            { "trials", report.m_failedProbes },
                            { "times", timesOf(report, now) },
                            { "answered_before", report.m_answeredBefore },
                            { "at_ms", millisOf(now) - static_cast<int64_t>(report.m_ageMs) } });
    }
    return Json({ { "condemned", entries } }).dump();
}

Result<std::vector<SuspectReport>> decodeQuarantined(const std::string &spec, WallTime now)
{
    const auto object = parseJsonObject(spec);
    if (!object)
        return tl::unexpected(object.error());
    const auto entries = object->find("condemned");
    if (entries == object->end() || !entries->is_array())
        return makeError(ErrorCode::InvalidArgument, "no list of condemned requests");
    std::vector<SuspectReport> quarantined;
    for (const Json &entry : *entries) {
        auto report = readEntry(entry, now);
        if (!report)
            return tl::unexpected(report.error());
        quarantined.push_back(std::move(*report));
    }
    return quarantined;
}

std::vector<SuspectReport> mergeQuarantined(std::vector<SuspectReport> one,
                                            const std::vector<SuspectReport> &other)
{
    for (const SuspectReport &report : other) {
        const auto known =
            std::find_if(one.begin(), one.end(), [&report](const SuspectReport &entry) {
                return entry.m_fingerprint == report.m_fingerprint;
            });
        if (known == one.end())
            one.push_back(report);
        else if (!covers(*known, report))
            *known = report;
    }
    std::stable_sort(one.begin(), one.end(),
                     [](const SuspectReport &left, const SuspectReport &right) {
                         return left.m_ageMs < right.m_ageMs;
                     });
    if (one.size() > MaxEntries)
        one.resize(MaxEntries);
    return one;
}

RecordFormat<SuspectReport> quarantineFormat(const RelaySource &source)
{
    return { source.m_quarantineKind,
             ObjectName,
             "condemned requests",
             encodeQuarantined,
             decodeQuarantined,
             mergeQuarantined,
             coversAll,
             subtractQuarantined };
}

} // namespace stackquay
