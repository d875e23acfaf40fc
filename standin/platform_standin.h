/// Test stand-in of the platform: the object service and the VM list. See docs/PROTOCOLS.md.
#pragma once

#include <mutex>

#include "standin/json_http.h"
#include "standin/notifier.h"
#include "standin/object_store.h"
#include "standin/rate_bucket.h"

namespace stackquay::standin {

enum class PlatformFaultMode {
    Ok,
    Down, ///< Every call gets 503; waiting watches too.
    Cut, ///< Every call's connection is cut.
    Slow, ///< Every call is delayed.
    LoseAnswer, ///< Applies the next writes, then cuts their connections.
    LoseRequest, ///< Cuts the connections of the next writes without applying them.
};

struct PlatformFault {
    PlatformFaultMode m_mode = PlatformFaultMode::Ok;
    Millis m_delay{ 0 }; ///< For Slow.
    int64_t m_count = 0; ///< Writes left to lose, for LoseAnswer and LoseRequest.
};

struct PlatformSettings {
    double m_readsPerSecond = 0; ///< 0 is without limit; a waiting watch counts as one read.
    double m_writesPerSecond = 0;
    Millis m_vmsLag{ 0 }; ///< How late a change of the VM list is seen.
    size_t m_changesKept = 4096; ///< Length of the log behind the watches.
};

/// Calls since the start.
struct PlatformStats {
    uint64_t m_reads = 0; ///< Without watches.
    uint64_t m_writes = 0; ///< Also those that lost their condition.
    uint64_t m_watches = 0;
    uint64_t m_conflicts = 0;
    uint64_t m_refused = 0; ///< 429 and 503.
};

/// Serves on a FiberThread, which must be stopped before this is destroyed. Public methods may be
/// called from any thread.
///
/// Admin calls, which no fault or rate touches: `POST /admin/fault` {"mode","delay_ms","count"},
/// `POST /admin/vms` {"vms":[...],"lag_ms"}, `POST /admin/compact`, `GET /admin/stats`.
class PlatformStandin
{
public:
    explicit PlatformStandin(FiberThread &thread, PlatformSettings settings = {});

    Result<Address> listen(const Address &address);

    void setFault(PlatformFault fault);
    /// Sets the VM list, an array as in `GET /vms`; served after the lag. The first is served at
    /// once.
    void setVms(Json vms);
    void setVmsLag(Millis lag);
    /// Forgets the changes, so that every watch from before gets 410.
    void compact();
    PlatformStats stats() const;
    std::optional<StoredObject> object(const std::string &key) const;
    std::vector<ListedObject> list(std::string_view prefix) const;
    /// Writes without condition, rate or fault; the new version.
    uint64_t put(const std::string &key, std::string value);

private:
    struct VmList {
        TimePoint m_setAt;
        Json m_vms;
    };

    void handle(HttpExchange &exchange);
    void handleAdmin(HttpExchange &exchange, std::string_view path);
    void handleFault(HttpExchange &exchange, const Json &body);
    void handleCall(HttpExchange &exchange, std::string_view path);
    void handleRead(HttpExchange &exchange, std::string_view path);
    void handleGet(HttpExchange &exchange, const std::string &key);
    void handleList(HttpExchange &exchange);
    void handleVms(HttpExchange &exchange);
    void handleWatch(HttpExchange &exchange);
    void handleWrite(HttpExchange &exchange, const std::string &key);
    /// Answers a watch if it has an answer now.
    bool answerWatch(HttpExchange &exchange, int64_t from, std::string_view prefix, bool expired);
    WriteOutcome applyWrite(const HttpRequest &request, const std::string &key);
    bool takeLostWrite(PlatformFaultMode mode);
    bool takeRate(bool write);
    void refuse(HttpExchange &exchange, unsigned status);
    PlatformFault fault() const;
    void wakeWatches();

    FiberThread &m_thread;
    HttpServer m_server;
    Notifier m_changed;

    mutable std::mutex m_mutex; ///< Guards what follows; never held across I/O.
    ObjectStore m_store;
    PlatformFault m_fault;
    PlatformStats m_stats;
    RateBucket m_reads;
    RateBucket m_writes;
    Millis m_vmsLag;
    std::deque<VmList> m_vms;
};

/// "down", "lose_answer" and so on.
Result<PlatformFaultMode> parsePlatformFaultMode(std::string_view name);

} // namespace stackquay::standin
