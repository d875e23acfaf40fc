#include "relay/quarantine_record.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

/// An entry takes about 100 bytes. Quarantined requests are rare: each one points to a bug that
/// people fix.
constexpr size_t MaxEntries = 64;
constexpr const char *ObjectName = "condemned";
/// Only the few VMs with pending writes retry while the store is unavailable.
constexpr Millis RetryPeriod{ 1'000 };

int64_t millisOf(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

bool covers(const SuspectReport &known, const SuspectReport &report)
{
    return known.m_crashes.size() >= report.m_crashes.size()
           && known.m_probesMade >= report.m_probesMade;
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
    report.m_probesMade = trials->get<uint32_t>();
    report.m_ageMs =
        static_cast<uint64_t>(std::max<int64_t>(millisOf(now) - at->get<int64_t>(), 0));
    return report;
}

} // namespace

std::string encodeQuarantined(const std::vector<SuspectReport> &quarantined, WallTime now)
{
    Json entries = Json::array();
    for (const SuspectReport &report : quarantined) {
        entries.push_back({ { "print", toString(report.m_fingerprint) },
                            { "ends", report.m_crashes },
                            { "trials", report.m_probesMade },
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

struct QuarantineRecord::State : std::enable_shared_from_this<QuarantineRecord::State> {
    State(FiberThread &thread, KindStore &store, const RelaySource &source, Loaded loaded)
        : m_thread(thread)
        , m_store(store)
        , m_source(source)
        , m_loaded(std::move(loaded))
    { }

    FiberThread &m_thread;
    KindStore &m_store;
    const RelaySource &m_source;
    Loaded m_loaded;
    std::vector<SuspectReport> m_unwritten; ///< Entries still to be written.
    bool m_loadStarted = false;
    bool m_writing = false;

    /// The stored object; one with an unknown position if it does not exist yet.
    Result<KindObject> read();
    bool tryLoad();
    bool tryWrite();
};

Result<KindObject> QuarantineRecord::State::read()
{
    auto object = m_store.get(m_source.m_quarantineKind, ObjectName);
    if (!object && object.error().m_code == ErrorCode::NotFound)
        return KindObject{ ObjectName, {}, encodeQuarantined({}, {}) };
    return object;
}

bool QuarantineRecord::State::tryLoad()
{
    const auto object = read();
    if (!object)
        return false;
    const auto quarantined = decodeQuarantined(object->m_spec, std::chrono::system_clock::now());
    if (!quarantined) {
        DecisionLine("store", "condemned requests not understood")
            .text("error", quarantined.error().m_message)
            .write();
        return true;
    }
    if (!quarantined->empty())
        DecisionLine("store", "condemned requests read")
            .number("requests", static_cast<int64_t>(quarantined->size()))
            .write();
    m_loaded(*quarantined);
    return true;
}

bool QuarantineRecord::State::tryWrite()
{
    const auto object = read();
    if (!object)
        return false;
    const WallTime now = std::chrono::system_clock::now();
    // Content that cannot be decoded is overwritten.
    const auto known =
        decodeQuarantined(object->m_spec, now).value_or(std::vector<SuspectReport>{});
    const std::vector<SuspectReport> unwritten = m_unwritten;
    if (!coversAll(known, unwritten)) {
        const KindObject next{ ObjectName, object->m_position,
                               encodeQuarantined(mergeQuarantined(known, unwritten), now) };
        const Status written = next.m_position.known()
                                   ? m_store.replace(m_source.m_quarantineKind, next)
                                   : m_store.create(m_source.m_quarantineKind, next);
        if (!written)
            return false;
        DecisionLine("store", "condemned requests written")
            .number("requests", static_cast<int64_t>(unwritten.size()))
            .write();
    }
    // More entries may have been added during the write.
    std::erase_if(m_unwritten, [&unwritten](const SuspectReport &report) {
        return coversAll(unwritten, { report });
    });
    return m_unwritten.empty();
}

QuarantineRecord::QuarantineRecord(FiberThread &thread, KindStore &store, const RelaySource &source,
                                   Loaded loaded)
    : m_state(std::make_shared<State>(thread, store, source, std::move(loaded)))
{ }

QuarantineRecord::~QuarantineRecord() = default;

void QuarantineRecord::load()
{
    if (std::exchange(m_state->m_loadStarted, true))
        return;
    spawnFiber([state = m_state] {
        while (!state->tryLoad() && sleepFor(state->m_thread.context(), RetryPeriod)) { }
    });
}

void QuarantineRecord::save(const std::vector<SuspectReport> &quarantined)
{
    m_state->m_unwritten = mergeQuarantined(m_state->m_unwritten, quarantined);
    if (m_state->m_unwritten.empty() || std::exchange(m_state->m_writing, true))
        return;
    spawnFiber([state = m_state] {
        while (!state->tryWrite() && sleepFor(state->m_thread.context(), RetryPeriod)) { }
        state->m_writing = false;
    });
}

} // namespace stackquay
