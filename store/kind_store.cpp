#include "store/kind_store.h"

#include <fmt/format.h>

#include "store/store_channel.h"

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 300;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusGone = 410;

/// The answer if its status is one of success.
Result<HttpResponse> successOf(Result<HttpResponse> response, std::string_view what)
{
    if (!response)
        return response;
    const unsigned status = response->m_status;
    if (status >= StatusOk && status < StatusRedirect)
        return response;
    if (status == StatusNotFound || status == StatusGone)
        return makeError(ErrorCode::NotFound, fmt::format("{}: status {}", what, status));
    if (status == StatusConflict)
        return makeError(ErrorCode::Conflict, fmt::format("{}: another revision", what));
    return makeError(ErrorCode::ProtocolError, fmt::format("{}: status {}", what, status));
}

Status discard(const Result<HttpResponse> &response)
{
    if (!response)
        return tl::unexpected(response.error());
    return {};
}

} // namespace

KindStore::KindStore(boost::asio::io_context &context, StoreSettings settings, RandomEngine random,
                     const KindDialect &dialect)
    : m_channel(std::make_shared<StoreChannel>(context, std::move(settings), random))
    , m_dialect(dialect)
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
    const Status inTime = noteEra(*response);
    if (!inTime)
        return tl::unexpected(inTime.error());
    return response;
}

/// An answer of an earlier era was on its way while the store came back: what it says is lost.
Status KindStore::noteEra(const HttpResponse &response)
{
    const uint64_t era = m_dialect.m_readEra(response);
    if (era == m_era || era == 0)
        return {};
    if (era < m_era) {
        DecisionLine("store", "answer of an earlier era dropped")
            .number("era", static_cast<int64_t>(era))
            .number("known", static_cast<int64_t>(m_era))
            .write();
        return makeError(ErrorCode::Unavailable, "the answer is of an earlier era of the store");
    }
    const uint64_t before = std::exchange(m_era, era);
    if (before != 0)
        DecisionLine("store", "store came back from a copy")
            .number("era", static_cast<int64_t>(era))
            .number("before", static_cast<int64_t>(before))
            .write();
    if (m_onRise)
        m_onRise();
    return {};
}

Result<KindPage> KindStore::list(const std::string &kind, bool stale)
{
    KindPage whole;
    std::string after;
    for (;;) {
        const auto response = successOf(
            send(StoreCount::Lists, m_dialect.m_list(kind, after, stale), {}), "list " + kind);
        if (!response)
            return tl::unexpected(response.error());
        auto page = m_dialect.m_readPage(response->m_body);
        if (!page)
            return page;
        // The first page's revision: what changes while later pages are read is watched for.
        if (after.empty())
            whole.m_position = at(page->m_position.m_revision);
        else if (whole.m_position.m_era != m_era)
            return makeError(ErrorCode::Unavailable, "the store came back while it was listed");
        for (KindObject &object : page->m_objects) {
            object.m_position.m_era = m_era;
            whole.m_objects.push_back(std::move(object));
        }
        if (!page->m_more || page->m_objects.empty())
            return whole;
        after = whole.m_objects.back().m_name;
    }
}

Result<KindObject> KindStore::get(const std::string &kind, const std::string &name)
{
    const auto response = successOf(send(StoreCount::Gets, m_dialect.m_get(kind, name), {}),
                                    "get " + kind + "/" + name);
    if (!response)
        return tl::unexpected(response.error());
    auto object = m_dialect.m_readObject(response->m_body);
    if (object)
        object->m_position.m_era = m_era;
    return object;
}

Result<KindEvents> KindStore::watch(const std::string &kind, const StorePosition &from, Millis wait)
{
    if (from.m_era != m_era)
        return makeError(ErrorCode::NotFound, "the store came back from a copy");
    const auto response =
        successOf(send(StoreCount::Watches, m_dialect.m_watch(kind, from.m_revision, wait), wait),
                  "watch " + kind);
    // In another era its revision names another place: all between would be missed.
    if (from.m_era != m_era)
        return makeError(ErrorCode::NotFound, "the store came back from a copy");
    if (!response)
        return tl::unexpected(response.error());
    auto events = m_dialect.m_readEvents(response->m_body);
    if (events)
        events->m_position.m_era = m_era;
    return events;
}

/// A change on the condition that the object stands at its position.
Status KindStore::change(StoreCount counter, HttpRequest request, const KindObject &object,
                         const std::string &what)
{
    const bool conditional = object.m_position.known();
    if (conditional && object.m_position.m_era != m_era)
        return makeError(ErrorCode::Conflict, what + ": the store came back from a copy");
    const Status changed = discard(successOf(send(counter, std::move(request), {}), what));
    if (conditional && object.m_position.m_era != m_era)
        return makeError(ErrorCode::OutcomeUnknown, what + ": the store came back from a copy");
    return changed;
}

Status KindStore::create(const std::string &kind, const KindObject &object)
{
    auto response = successOf(send(StoreCount::Puts, m_dialect.m_create(kind, object), {}),
                              "create " + kind + "/" + object.m_name);
    if (!response && response.error().m_code == ErrorCode::Conflict)
        return makeError(ErrorCode::AlreadyExists, response.error().m_message);
    return discard(response);
}

Status KindStore::replace(const std::string &kind, const KindObject &object)
{
    return change(StoreCount::Puts, m_dialect.m_replace(kind, object), object,
                  "replace " + kind + "/" + object.m_name);
}

Status KindStore::remove(const std::string &kind, const KindObject &object)
{
    return change(StoreCount::Removes, m_dialect.m_remove(kind, object), object,
                  "remove " + kind + "/" + object.m_name);
}

StoreCounters KindStore::counters() const
{
    return m_channel->counters();
}

} // namespace stackquay
