/// Client of a store of typed objects, each identified by a kind (its type) and a name. Lists and
/// watches return the complete objects. It sends over a StoreChannel, like StoreClient. A platform
/// adapter supplies the codec: the functions that write a call and parse its response.
///
/// The store numbers its changes by revisions. Its era rises each time it is restored from a
/// backup; revisions of different eras are not comparable.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/store_position.h"
#include "store/store_client.h"

namespace stackquay {

struct KindObject {
    std::string m_name;
    StorePosition m_position; ///< Era and revision of its last change.
    std::string m_spec; ///< The content as JSON text.
};

/// One page of a list.
struct KindPage {
    std::vector<KindObject> m_objects;
    /// The first object that was left out because its name is missing or no valid text; the name
    /// as bytes.
    std::optional<std::string> m_unreadable;
    bool m_hasMore = false; ///< There is another page.
    size_t m_pages = 1; ///< Of a whole list: the calls that it took.
    std::string m_lastName; ///< The next page starts after it. Empty if no object has a name.
    StorePosition m_position; ///< Of the store; a watch from here misses no change.
};

struct KindEvent {
    KindObject m_object;
    bool m_removed = false;
};

struct KindEvents {
    std::vector<KindEvent> m_events; ///< Empty when the watch timed out.
    StorePosition m_position; ///< Position from which to watch next.
};

/// The functions that write the calls of a platform's store and parse its responses.
struct KindCodec {
    /// @p after: KindPage::m_lastName of the previous page, or empty. @p stale: the store may
    /// return an outdated list.
    HttpRequest (*m_list)(const std::string &kind, const std::string &after, bool stale) = nullptr;
    HttpRequest (*m_get)(const std::string &kind, const std::string &name) = nullptr;
    /// Waits up to @p wait for changes after revision @p from.
    HttpRequest (*m_watch)(const std::string &kind, uint64_t from, Millis wait) = nullptr;
    HttpRequest (*m_create)(const std::string &kind, const KindObject &object) = nullptr;
    /// Conditional on the object's position; unconditional if the position is not known.
    HttpRequest (*m_replace)(const std::string &kind, const KindObject &object) = nullptr;
    /// Conditional like m_replace.
    HttpRequest (*m_remove)(const std::string &kind, const KindObject &object) = nullptr;
    Result<KindPage> (*m_readPage)(const std::string &body) = nullptr;
    Result<KindEvents> (*m_readEvents)(const std::string &body) = nullptr;
    Result<KindObject> (*m_readObject)(const std::string &body) = nullptr;
    /// The era in the response; zero if it contains none.
    uint64_t (*m_readEra)(const HttpResponse &response) = nullptr;
};

enum class StoreCount;

/// To be used by the fibers of one thread. Calls may also fail with the errors that are common to
/// all calls of ObjectApi, see store/objects.h.
class KindStore
{
public:
    /// @p codec must outlive the store.
    KindStore(boost::asio::io_context &context, StoreSettings settings, RandomEngine random,
              const KindCodec &codec);
    ~KindStore();
    KindStore(const KindStore &) = delete;
    KindStore &operator=(const KindStore &) = delete;

    /// Reads all pages. @p stale: the store may return an outdated list. ProtocolError if the pages
    /// do not come to an end.
    Result<KindPage> list(const std::string &kind, bool stale = false);
    /// NotFound if there is no such object.
    Result<KindObject> get(const std::string &kind, const std::string &name);
    /// Waits up to @p wait for changes after @p from. NotFound if the store no longer keeps the
    /// changes after @p from, or was restored from a backup since: list again.
    Result<KindEvents> watch(const std::string &kind, const StorePosition &from, Millis wait);
    /// AlreadyExists if there is an object of that kind and name.
    Status create(const std::string &kind, const KindObject &object);
    /// Conditional if the position of @p object is known: Conflict if the object has changed since.
    /// OutcomeUnknown if the store was restored from a backup during the call: the condition may
    /// have been checked against a different object with the same revision.
    Status replace(const std::string &kind, const KindObject &object);
    /// Conditional like replace(), with the same errors.
    Status remove(const std::string &kind, const KindObject &object);
    StoreCounters counters() const;
    /// The highest era in any response of the store; zero if none contained one.
    uint64_t era() const { return m_era; }
    /// Sets the function to call when a response contains the first era, or one higher than era().
    void onEraIncrease(std::function<void()> callback) { m_onEraIncrease = std::move(callback); }

private:
    Result<HttpResponse> send(StoreCount counter, HttpRequest request, Duration wait);
    Status checkEra(const HttpResponse &response);
    Result<KindPage> readPage(const std::string &kind, const std::string &after, bool stale,
                              size_t &bytes);
    tl::unexpected<Error> failList(const std::string &kind, const std::string &after, Error error);
    void noteListed(const std::string &kind, const KindPage &list);
    Status change(StoreCount counter, HttpRequest request, const KindObject &object,
                  const std::string &what);
    StorePosition positionAt(uint64_t revision) const { return { m_era, revision }; }

    std::shared_ptr<StoreChannel> m_channel;
    const KindCodec &m_codec;
    uint64_t m_era = 0;
    std::function<void()> m_onEraIncrease;
    /// By kind: how its lists have failed since one succeeded.
    std::map<std::string, std::set<ErrorCode>> m_listErrors;
    /// By kind: KindPage::m_unreadable of the last list.
    std::map<std::string, std::optional<std::string>> m_unreadable;
};

} // namespace stackquay
