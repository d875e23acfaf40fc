#include "store/kind_store.h"

#include <algorithm>
#include <iterator>

#include <fmt/format.h>

#include "store/store_channel.h"

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 300;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;
/// Of one list; a fleet of thousands takes some 20 pages and a few megabytes.
constexpr size_t MaxListPages = 1'000;
constexpr size_t MaxListBytes = 64 * 1024 * 1024;
/// Of a name in a log line or error.
constexpr size_t MaxShownBytes = 100;

/// Returns the response if its status is 2xx, otherwise the corresponding error.
Result<HttpResponse> requireSuccess(Result<HttpResponse> response, std::string_view what)
{
    if (!response)
        return response;
    const unsigned status = response->m_status;
    if (status >= StatusOk && status < StatusRedirect)
        return response;
    if (status == StatusNotFound || status == StatusGone)
        return makeError(ErrorCode::NotFound, fmt::format("{}: status {}", what, status));
    if (status == StatusConflict)
        return makeError(ErrorCode::Conflict,
                         fmt::format("{}: the object has another revision", what));
    return makeError(ErrorCode::ProtocolError, fmt::format("{}: status {}", what, status));
}

/// @p name for people: of printable characters, and cut if it is long.
std::string shown(const std::string &name)
{
    return percentEncode(name.substr(0, MaxShownBytes))
           + (name.size() > MaxShownBytes ? "..." : "");
}

/// Ends a list that would not end by itself. @p starts: names after which its pages began.
Status checkProgress(const KindPage &page, const std::set<std::string> &starts, size_t bytes)
{
    if (page.m_lastName.empty())
        return makeError(ErrorCode::ProtocolError, "no name after which the next page starts");
    if (starts.count(page.m_lastName) > 0)
        return makeError(ErrorCode::ProtocolError,
                         "the next page would start where an earlier one did: after "
                             + shown(page.m_lastName));
    if (starts.size() >= MaxListPages || bytes > MaxListBytes)
        return makeError(ErrorCode::ProtocolError,
                         fmt::format("no end after {} pages and {} bytes", starts.size(), bytes));
    return {};
}

Status discard(const Result<HttpResponse> &response)
{
    if (!response)
        return tl::unexpected(response.error());
    return {};
}

} // namespace

KindStore::KindStore(boost::asio::io_context &context, StoreSettings settings, RandomEngine random,
                     const KindCodec &codec)
    : m_channel(std::make_shared<StoreChannel>(context, std::move(settings), random))
    , m_codec(codec)
{ }

KindStore::~KindStore()
{
    m_channel->close();
}

Result<HttpResponse> KindStore::send(StoreCount counter, HttpRequest request, Duration wait)
{
    const StoreSettings &settings = m_channel->settings();
    auto response = m_channel->call({ counter, std::move(request), settings.m_tryTimeout + wait,
                                      settings.m_callTimeout + wait });
    if (response && response->m_status == StatusConflict)
        m_channel->count(StoreCount::Conflicts);
    if (!response)
        return response;
    const Status accepted = checkEra(*response);
    if (!accepted)
        return tl::unexpected(accepted.error());
    return response;
}

/// Rejects a response of an earlier era: it was sent before the store was restored from a backup,
/// so the state that it reports may no longer exist.
Status KindStore::checkEra(const HttpResponse &response)
{
    const uint64_t era = m_codec.m_readEra(response);
    if (era == m_era || era == 0)
        return {};
    if (era < m_era) {
        DecisionLine("store", "answer of an earlier era dropped")
            .number("era", static_cast<int64_t>(era))
            .number("known", static_cast<int64_t>(m_era))
            .write();
        return makeError(ErrorCode::Unavailable, "the response is of an earlier era of the store");
    }
    const uint64_t before = std::exchange(m_era, era);
    if (before != 0)
        DecisionLine("store", "store came back from a copy")
            .number("era", static_cast<int64_t>(era))
            .number("before", static_cast<int64_t>(before))
            .write();
    if (m_onEraIncrease)
        m_onEraIncrease();
    return {};
}

Result<KindPage> KindStore::list(const std::string &kind, bool stale)
{
    KindPage list;
    std::set<std::string> starts;
    std::string after;
    size_t bytes = 0;
    for (;;) {
        auto page = readPage(kind, after, stale, bytes);
        if (!page)
            return failList(kind, after, page.error());
        // The revision of the first page, so that a watch from there reports what changes while
        // later pages are read.
        if (starts.empty())
            list.m_position = page->m_position;
        else if (list.m_position.m_era != m_era)
            return failList(
                kind, after,
                { ErrorCode::Unavailable, "the store was restored from a backup during the list" });
        std::move(page->m_objects.begin(), page->m_objects.end(),
                  std::back_inserter(list.m_objects));
        if (!list.m_unreadable)
            list.m_unreadable = page->m_unreadable;
        if (!page->m_hasMore) {
            list.m_pages = starts.size() + 1;
            noteListed(kind, list);
            return list;
        }
        starts.insert(after);
        const Status progress = checkProgress(*page, starts, bytes);
        if (!progress)
            return failList(kind, after, progress.error());
        after = page->m_lastName;
    }
}

/// Adds the size of the response to @p bytes.
Result<KindPage> KindStore::readPage(const std::string &kind, const std::string &after, bool stale,
                                     size_t &bytes)
{
    const auto response = requireSuccess(
        send(StoreCount::Lists, m_codec.m_list(kind, after, stale), {}), "list " + kind);
    if (!response)
        return tl::unexpected(response.error());
    bytes += response->m_body.size();
    auto page = m_codec.m_readPage(response->m_body);
    if (!page)
        return page;
    page->m_position = positionAt(page->m_position.m_revision);
    for (KindObject &object : page->m_objects)
        object.m_position.m_era = m_era;
    return page;
}

/// Logs each kind of error once until a list succeeds, as failed lists are retried.
tl::unexpected<Error> KindStore::failList(const std::string &kind, const std::string &after,
                                          Error error)
{
    if (error.m_code != ErrorCode::Cancelled && m_listErrors[kind].insert(error.m_code).second)
        DecisionLine("store", "list failed")
            .text("kind", kind)
            .text("after", shown(after))
            .text("error", error.m_message)
            .write();
    return tl::unexpected(std::move(error));
}

/// Logs the end of a failure, and the first object that was left out if it is another than before.
void KindStore::noteListed(const std::string &kind, const KindPage &list)
{
    if (m_listErrors.erase(kind) > 0)
        DecisionLine("store", "list succeeded again").text("kind", kind).write();
    if (std::exchange(m_unreadable[kind], list.m_unreadable) != list.m_unreadable
        && list.m_unreadable)
        DecisionLine("store", "object without readable name left out")
            .text("kind", kind)
            .text("object", shown(*list.m_unreadable))
            .write();
}

Result<KindObject> KindStore::get(const std::string &kind, const std::string &name)
{
    const auto response = requireSuccess(send(StoreCount::Gets, m_codec.m_get(kind, name), {}),
                                         "get " + kind + "/" + name);
    if (!response)
        return tl::unexpected(response.error());
    auto object = m_codec.m_readObject(response->m_body);
    if (object)
        object->m_position.m_era = m_era;
    return object;
}

Result<KindEvents> KindStore::watch(const std::string &kind, const StorePosition &from, Millis wait)
{
    if (from.m_era != m_era)
        return makeError(ErrorCode::NotFound, "the store was restored from a backup");
    const auto response = requireSuccess(
        send(StoreCount::Watches, m_codec.m_watch(kind, from.m_revision, wait), wait),
        "watch " + kind);
    // In a new era the revision denotes a different change, so the watch may have missed some.
    if (from.m_era != m_era)
        return makeError(ErrorCode::NotFound, "the store was restored from a backup");
    if (!response)
        return tl::unexpected(response.error());
    auto events = m_codec.m_readEvents(response->m_body);
    if (events)
        events->m_position.m_era = m_era;
    return events;
}

/// Sends a replace or remove, which is conditional if the position of @p object is known.
Status KindStore::change(StoreCount counter, HttpRequest request, const KindObject &object,
                         const std::string &what)
{
    const bool conditional = object.m_position.known();
    if (conditional && object.m_position.m_era != m_era)
        return makeError(ErrorCode::Conflict, what + ": the store was restored from a backup");
    const Status changed = discard(requireSuccess(send(counter, std::move(request), {}), what));
    if (conditional && object.m_position.m_era != m_era)
        return makeError(ErrorCode::OutcomeUnknown,
                         what + ": the store was restored from a backup");
    return changed;
}

Status KindStore::create(const std::string &kind, const KindObject &object)
{
    auto response = requireSuccess(send(StoreCount::Puts, m_codec.m_create(kind, object), {}),
                                   "create " + kind + "/" + object.m_name);
    if (!response && response.error().m_code == ErrorCode::Conflict)
        return makeError(ErrorCode::AlreadyExists, response.error().m_message);
    return discard(response);
}

Status KindStore::replace(const std::string &kind, const KindObject &object)
{
    return change(StoreCount::Puts, m_codec.m_replace(kind, object), object,
                  "replace " + kind + "/" + object.m_name);
}

Status KindStore::remove(const std::string &kind, const KindObject &object)
{
    return change(StoreCount::Removes, m_codec.m_remove(kind, object), object,
                  "remove " + kind + "/" + object.m_name);
}

StoreCounters KindStore::counters() const
{
    return m_channel->counters();
}

} // namespace stackquay
