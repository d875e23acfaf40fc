#include "relay/condemned_record.h"

#include <algorithm>

#include <fmt/format.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

/// A hundred bytes each; a condemned request comes from a fault that people mend.
constexpr size_t MostCondemned = 64;
constexpr const char *ObjectName = "condemned";
/// A store that is away is asked this often by the one or few VMs that have something to write.
constexpr Millis RetryPeriod{ 1'000 };

int64_t millisOf(WallTime time)
{
    return std::chrono::duration_cast<Millis>(time.time_since_epoch()).count();
}

bool says(const SuspectNews &known, const SuspectNews &news)
{
    return known.m_ends.size() >= news.m_ends.size() && known.m_trials >= news.m_trials;
}

/// Whether @p known leaves nothing of @p news unsaid.
bool saysAll(const std::vector<SuspectNews> &known, const std::vector<SuspectNews> &news)
{
    return std::all_of(news.begin(), news.end(), [&known](const SuspectNews &one) {
        return std::any_of(known.begin(), known.end(), [&one](const SuspectNews &other) {
            return other.m_print == one.m_print && says(other, one);
        });
    });
}

Result<SuspectNews> readEntry(const Json &entry, WallTime now)
{
    if (!entry.is_object())
        return makeError(ErrorCode::InvalidArgument, "an entry is no object");
    SuspectNews news;
    news.m_print = fingerprintFrom(stringField(entry, "print").value_or(""));
    const auto ends = entry.find("ends");
    const auto trials = entry.find("trials");
    const auto at = entry.find("at_ms");
    const bool complete = news.m_print != Fingerprint{} && ends != entry.end() && ends->is_array()
                          && trials != entry.end() && trials->is_number_unsigned()
                          && at != entry.end() && at->is_number_integer();
    if (!complete)
        return makeError(ErrorCode::InvalidArgument, "an entry lacks print, ends, trials or at_ms");
    for (const Json &end : *ends) {
        if (!end.is_number_unsigned())
            return makeError(ErrorCode::InvalidArgument, "an end is no name of a process");
        news.m_ends.push_back(end.get<uint64_t>());
    }
    news.m_trials = trials->get<uint32_t>();
    news.m_ageMs = static_cast<uint64_t>(std::max<int64_t>(millisOf(now) - at->get<int64_t>(), 0));
    return news;
}

} // namespace

std::string writeCondemned(const std::vector<SuspectNews> &condemned, WallTime now)
{
    Json entries = Json::array();
    for (const SuspectNews &news : condemned) {
        entries.push_back({ { "print", toString(news.m_print) },
                            { "ends", news.m_ends },
                            { "trials", news.m_trials },
                            { "at_ms", millisOf(now) - static_cast<int64_t>(news.m_ageMs) } });
    }
    return Json({ { "condemned", entries } }).dump();
}

Result<std::vector<SuspectNews>> readCondemned(const std::string &spec, WallTime now)
{
    const auto object = parseJsonObject(spec);
    if (!object)
        return tl::unexpected(object.error());
    const auto entries = object->find("condemned");
    if (entries == object->end() || !entries->is_array())
        return makeError(ErrorCode::InvalidArgument, "no list of condemned requests");
    std::vector<SuspectNews> condemned;
    for (const Json &entry : *entries) {
        auto news = readEntry(entry, now);
        if (!news)
            return tl::unexpected(news.error());
        condemned.push_back(std::move(*news));
    }
    return condemned;
}

std::vector<SuspectNews> joinCondemned(std::vector<SuspectNews> one,
                                       const std::vector<SuspectNews> &other)
{
    for (const SuspectNews &news : other) {
        const auto known = std::find_if(one.begin(), one.end(), [&news](const SuspectNews &entry) {
            return entry.m_print == news.m_print;
        });
        if (known == one.end())
            one.push_back(news);
        else if (!says(*known, news))
            *known = news;
    }
    std::stable_sort(one.begin(), one.end(), [](const SuspectNews &left, const SuspectNews &right) {
        return left.m_ageMs < right.m_ageMs;
    });
    if (one.size() > MostCondemned)
        one.resize(MostCondemned);
    return one;
}

struct CondemnedRecord::State : std::enable_shared_from_this<CondemnedRecord::State> {
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
    std::vector<SuspectNews> m_unsaid; ///< To be written.
    bool m_loading = false;
    bool m_writing = false;

    /// The object, or one of no position if there is none yet.
    Result<KindObject> read();
    bool tryLoad();
    bool tryWrite();
};

Result<KindObject> CondemnedRecord::State::read()
{
    auto object = m_store.get(m_source.m_condemnedKind, ObjectName);
    if (!object && object.error().m_code == ErrorCode::NotFound)
        return KindObject{ ObjectName, {}, writeCondemned({}, {}) };
    return object;
}

bool CondemnedRecord::State::tryLoad()
{
    const auto object = read();
    if (!object)
        return false;
    const auto condemned = readCondemned(object->m_spec, std::chrono::system_clock::now());
    if (!condemned) {
        DecisionLine("store", "condemned requests not understood")
            .text("error", condemned.error().m_message)
            .write();
        return true;
    }
    if (!condemned->empty())
        DecisionLine("store", "condemned requests read")
            .number("requests", static_cast<int64_t>(condemned->size()))
            .write();
    m_loaded(*condemned);
    return true;
}

bool CondemnedRecord::State::tryWrite()
{
    const auto object = read();
    if (!object)
        return false;
    const WallTime now = std::chrono::system_clock::now();
    // What cannot be read is written anew.
    const auto known = readCondemned(object->m_spec, now).value_or(std::vector<SuspectNews>{});
    const std::vector<SuspectNews> unsaid = m_unsaid;
    if (!saysAll(known, unsaid)) {
        const KindObject next{ ObjectName, object->m_position,
                               writeCondemned(joinCondemned(known, unsaid), now) };
        const Status written = next.m_position.known()
                                   ? m_store.replace(m_source.m_condemnedKind, next)
                                   : m_store.create(m_source.m_condemnedKind, next);
        if (!written)
            return false;
        DecisionLine("store", "condemned requests written")
            .number("requests", static_cast<int64_t>(unsaid.size()))
            .write();
    }
    // More may have come meanwhile.
    std::erase_if(m_unsaid,
                  [&unsaid](const SuspectNews &news) { return saysAll(unsaid, { news }); });
    return m_unsaid.empty();
}

CondemnedRecord::CondemnedRecord(FiberThread &thread, KindStore &store, const RelaySource &source,
                                 Loaded loaded)
    : m_state(std::make_shared<State>(thread, store, source, std::move(loaded)))
{ }

CondemnedRecord::~CondemnedRecord() = default;

void CondemnedRecord::load()
{
    if (std::exchange(m_state->m_loading, true))
        return;
    spawnFiber([state = m_state] {
        while (!state->tryLoad() && sleepFor(state->m_thread.context(), RetryPeriod)) { }
    });
}

void CondemnedRecord::keep(const std::vector<SuspectNews> &condemned)
{
    m_state->m_unsaid = joinCondemned(m_state->m_unsaid, condemned);
    if (m_state->m_unsaid.empty() || std::exchange(m_state->m_writing, true))
        return;
    spawnFiber([state = m_state] {
        while (!state->tryWrite() && sleepFor(state->m_thread.context(), RetryPeriod)) { }
        state->m_writing = false;
    });
}

} // namespace stackquay
