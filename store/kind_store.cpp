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
    return response;
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
            whole.m_revision = page->m_revision;
        for (KindObject &object : page->m_objects)
            whole.m_objects.push_back(std::move(object));
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
    return m_dialect.m_readObject(response->m_body);
}

Result<KindEvents> KindStore::watch(const std::string &kind, uint64_t from, Millis wait)
{
    const auto response = successOf(
        send(StoreCount::Watches, m_dialect.m_watch(kind, from, wait), wait), "watch " + kind);
    if (!response)
        return tl::unexpected(response.error());
    return m_dialect.m_readEvents(response->m_body);
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
    return discard(successOf(send(StoreCount::Puts, m_dialect.m_replace(kind, object), {}),
                             "replace " + kind + "/" + object.m_name));
}

Status KindStore::remove(const std::string &kind, const KindObject &object)
{
    return discard(successOf(send(StoreCount::Removes, m_dialect.m_remove(kind, object), {}),
                             "remove " + kind + "/" + object.m_name));
}

StoreCounters KindStore::counters() const
{
    return m_channel->counters();
}

} // namespace stackquay
