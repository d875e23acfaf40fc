/// Objects by kind and name, with their whole content in lists and watches, over the same channel
/// as StoreClient. How a call is written and an answer read is a table of functions, which the
/// adapter of a platform fills.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "policy/store_position.h"
#include "store/store_client.h"

namespace stackquay {

struct KindObject {
    std::string m_name;
    StorePosition m_position; ///< Of its last change.
    std::string m_spec; ///< JSON.
};

/// One page of a list.
struct KindPage {
    std::vector<KindObject> m_objects;
    bool m_more = false; ///< Ask again with the name of the last object.
    StorePosition m_position; ///< Of the store, where a watch has to start.
};

struct KindEvent {
    KindObject m_object;
    bool m_removed = false;
};

struct KindEvents {
    std::vector<KindEvent> m_events; ///< Empty when the watch timed out.
    StorePosition m_position; ///< Where the next watch has to start.
};

struct KindDialect {
    HttpRequest (*m_list)(const std::string &kind, const std::string &after, bool stale) = nullptr;
    HttpRequest (*m_get)(const std::string &kind, const std::string &name) = nullptr;
    HttpRequest (*m_watch)(const std::string &kind, uint64_t from, Millis wait) = nullptr;
    HttpRequest (*m_create)(const std::string &kind, const KindObject &object) = nullptr;
    /// Unconditional if the object's position is not known.
    HttpRequest (*m_replace)(const std::string &kind, const KindObject &object) = nullptr;
    HttpRequest (*m_remove)(const std::string &kind, const KindObject &object) = nullptr;
    Result<KindPage> (*m_readPage)(const std::string &body) = nullptr;
    Result<KindEvents> (*m_readEvents)(const std::string &body) = nullptr;
    Result<KindObject> (*m_readObject)(const std::string &body) = nullptr;
    /// Of the store that answered; zero: it tells none.
    uint64_t (*m_readEra)(const HttpResponse &response) = nullptr;
};

enum class StoreCount;

/// For the fibers of one thread. Errors as in ObjectApi.
class KindStore
{
public:
    KindStore(boost::asio::io_context &context, StoreSettings settings, RandomEngine random,
              const KindDialect &dialect);
    ~KindStore();
    KindStore(const KindStore &) = delete;
    KindStore &operator=(const KindStore &) = delete;

    /// All pages.
    Result<KindPage> list(const std::string &kind, bool stale = false);
    Result<KindObject> get(const std::string &kind, const std::string &name);
    /// NotFound if the history after @p from is gone: list again.
    Result<KindEvents> watch(const std::string &kind, const StorePosition &from, Millis wait);
    /// AlreadyExists if there is an object of that name.
    Status create(const std::string &kind, const KindObject &object);
    /// Conflict if the position of @p object is not the present one, if it is known. OutcomeUnknown
    /// if the store came back from a copy meanwhile: the condition may have met another object.
    Status replace(const std::string &kind, const KindObject &object);
    Status remove(const std::string &kind, const KindObject &object);
    StoreCounters counters() const;
    /// The highest that the store has told; zero: none.
    uint64_t era() const { return m_era; }
    /// Hears when the store tells its era for the first time, or a higher one than before.
    void onRise(std::function<void()> callback) { m_onRise = std::move(callback); }

private:
    Result<HttpResponse> send(StoreCount counter, HttpRequest request, Duration wait);
    Status noteEra(const HttpResponse &response);
    Status change(StoreCount counter, HttpRequest request, const KindObject &object,
                  const std::string &what);
    StorePosition at(uint64_t revision) const { return { m_era, revision }; }

    std::shared_ptr<StoreChannel> m_channel;
    const KindDialect &m_dialect;
    uint64_t m_era = 0;
    std::function<void()> m_onRise;
};

} // namespace stackquay
