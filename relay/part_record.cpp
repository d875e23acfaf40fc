#include "relay/part_record.h"

#include <algorithm>

#include "core/json_fields.h"

namespace stackquay {

namespace {

/// Each entry takes some hundred bytes; an object may have a megabyte.
constexpr size_t MaxEntries = 64;
constexpr size_t MaxCrashes = 16;
constexpr const char *ObjectName = "quarantined-parts";

int64_t millisOf(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

uint64_t ageOf(const Json &at, WallTime now)
{
    return static_cast<uint64_t>(std::max<int64_t>(millisOf(now) - at.get<int64_t>(), 0));
}

bool contains(const std::vector<PartCrashReport> &crashes, const PartCrashReport &crash)
{
    return std::any_of(crashes.begin(), crashes.end(), [&crash](const PartCrashReport &one) {
        return one.m_process == crash.m_process && one.m_request == crash.m_request;
    });
}

bool covers(const PartReport &known, const PartReport &report)
{
    return known.m_key == report.m_key && known.m_probesMade >= report.m_probesMade
           && (known.m_crashes.size() >= MaxCrashes
               || std::all_of(report.m_crashes.begin(), report.m_crashes.end(),
                              [&known](const PartCrashReport &crash) {
                                  return contains(known.m_crashes, crash);
                              }));
}

bool coversAll(const std::vector<PartReport> &known, const std::vector<PartReport> &reports)
{
    return std::all_of(reports.begin(), reports.end(), [&known](const PartReport &report) {
        return std::any_of(known.begin(), known.end(),
                           [&report](const PartReport &one) { return covers(one, report); });
    });
}

/// The numbers under @p names in @p entry; nothing if one is missing or no natural number.
std::optional<std::vector<uint64_t>> numbersOf(const Json &entry,
                                               std::initializer_list<const char *> names)
{
    std::vector<uint64_t> numbers;
    for (const char *name : names) {
        const auto field = entry.is_object() ? entry.find(name) : entry.end();
        if (!entry.is_object() || field == entry.end() || !field->is_number_unsigned())
            return std::nullopt;
        numbers.push_back(field->get<uint64_t>());
    }
    return numbers;
}

Result<PartReport> readEntry(const Json &entry, WallTime now)
{
    const auto numbers = numbersOf(entry, { "part", "customer", "probes", "at_ms" });
    const bool hasCrashes = numbers && entry.contains("crashes") && entry["crashes"].is_array();
    if (!hasCrashes)
        return makeError(ErrorCode::InvalidArgument,
                         "an entry lacks part, customer, probes, at_ms or crashes");
    PartReport report;
    report.m_key = { (*numbers)[0], (*numbers)[1] };
    report.m_probesMade = static_cast<uint32_t>((*numbers)[2]);
    report.m_ageMs = ageOf(entry["at_ms"], now);
    report.m_answeredBefore = boolField(entry, "answered_before");
    for (const Json &one : entry["crashes"]) {
        const auto crash = numbersOf(one, { "process", "request", "at_ms" });
        if (!crash)
            return makeError(ErrorCode::InvalidArgument, "a crash lacks process, request or at_ms");
        report.m_crashes.push_back({ (*crash)[0], (*crash)[1], ageOf(one["at_ms"], now) });
    }
    return report;
}

int64_t timeOf(uint64_t ageMs, WallTime now)
{
    return millisOf(now) - static_cast<int64_t>(ageMs);
}

void mergeInto(PartReport &known, const PartReport &report)
{
    known.m_ageMs = std::min(known.m_ageMs, report.m_ageMs);
    known.m_probesMade = std::max(known.m_probesMade, report.m_probesMade);
    known.m_answeredBefore = known.m_answeredBefore || report.m_answeredBefore;
    for (const PartCrashReport &crash : report.m_crashes) {
        if (!contains(known.m_crashes, crash) && known.m_crashes.size() < MaxCrashes)
            known.m_crashes.push_back(crash);
    }
}

std::vector<PartReport> subtractParts(std::vector<PartReport> known,
                                      const std::vector<PartReport> &removed)
{
    std::erase_if(known,
                  [&removed](const PartReport &report) { return coversAll(removed, { report }); });
    return known;
}

} // namespace

std::string encodeParts(const std::vector<PartReport> &parts, WallTime now)
{
    Json entries = Json::array();
    for (const PartReport &report : parts) {
        Json crashes = Json::array();
        for (const PartCrashReport &crash : report.m_crashes)
            crashes.push_back({ { "process", crash.m_process },
                                { "request", crash.m_request },
                                { "at_ms", timeOf(crash.m_ageMs, now) } });
        entries.push_back({ { "part", report.m_key.m_part },
                            { "customer", report.m_key.m_customer },
                            { "probes", report.m_probesMade },
                            { "at_ms", timeOf(report.m_ageMs, now) },
                            { "answered_before", report.m_answeredBefore },
                            { "crashes", crashes } });
    }
    return Json({ { "parts", entries } }).dump();
}

Result<std::vector<PartReport>> decodeParts(const std::string &spec, WallTime now)
{
    const auto object = parseJsonObject(spec);
    if (!object)
        return tl::unexpected(object.error());
    const auto entries = object->find("parts");
    if (entries == object->end() || !entries->is_array())
        return makeError(ErrorCode::InvalidArgument, "no list of quarantined parts");
    std::vector<PartReport> parts;
    for (const Json &entry : *entries) {
        auto report = readEntry(entry, now);
        if (!report)
            return tl::unexpected(report.error());
        parts.push_back(std::move(*report));
    }
    return parts;
}

std::vector<PartReport> mergeParts(std::vector<PartReport> one,
                                   const std::vector<PartReport> &other)
{
    for (const PartReport &report : other) {
        const auto known = std::find_if(one.begin(), one.end(), [&report](const auto &entry) {
            return entry.m_key == report.m_key;
        });
        if (known == one.end())
            one.push_back(report);
        else
            mergeInto(*known, report);
    }
    std::stable_sort(one.begin(), one.end(), [](const PartReport &left, const PartReport &right) {
        return left.m_ageMs < right.m_ageMs;
    });
    if (one.size() > MaxEntries)
        one.resize(MaxEntries);
    return one;
}

RecordFormat<PartReport> partFormat(const RelaySource &source)
{
    return { source.m_quarantineKind,
             ObjectName,
             "quarantined parts",
             encodeParts,
             decodeParts,
             mergeParts,
             coversAll,
             subtractParts };
}

} // namespace stackquay
