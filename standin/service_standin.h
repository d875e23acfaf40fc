/// Test stand-in of a plain service, which counts every execution. See docs/PROTOCOLS.md.
#pragma once

#include <map>
#include <mutex>

#include "standin/json_http.h"
#include "standin/notifier.h"

namespace stackquay::standin {

enum class ServiceFaultMode {
    Ok,
    LoseAnswer, ///< Executes the next calls, then cuts their connections.
    LoseRequest, ///< Cuts the next calls without executing them.
    Refuse, ///< Says of the next calls that they did not run.
    Hang, ///< Takes calls, but neither executes nor answers them.
};

struct ServiceFault {
    ServiceFaultMode m_mode = ServiceFaultMode::Ok;
    int64_t m_count = 0; ///< Calls left to strike; 0 is all until another mode.
};

struct ServiceSettings {
    Millis m_serviceTime{ 0 }; ///< From the call to its execution.
};

struct ServiceStats {
    uint64_t m_total = 0; ///< Executions.
    uint64_t m_refused = 0;
    std::map<std::string, uint64_t> m_executions; ///< By `Idempotency-Key`.
    std::map<std::string, uint64_t> m_attempts; ///< Executions by `Stackquay-Attempt-Id`.
};

/// "refuse", "lose_answer" and so on.
Result<ServiceFaultMode> parseServiceFaultMode(std::string_view name);

/// Serves on a FiberThread, which must be stopped before this is destroyed. Public methods may be
/// called from any thread.
///
/// Admin calls, which no fault touches: `POST /admin/fault` {"mode","count"}, `GET /admin/stats`.
class ServiceStandin
{
public:
    explicit ServiceStandin(FiberThread &thread, ServiceSettings settings = {});

    Result<Address> listen(const Address &address);

    void setFault(ServiceFault fault);
    ServiceStats stats() const;

private:
    void handle(HttpExchange &exchange);
    void handleAdmin(HttpExchange &exchange, std::string_view path);
    void handleCall(HttpExchange &exchange);
    bool awaitAnswering(HttpExchange &exchange);
    void execute(const HttpRequest &request);
    void refuse(HttpExchange &exchange);
    void answer(HttpExchange &exchange);
    ServiceFaultMode mode() const;
    bool takeFault(ServiceFaultMode mode);

    FiberThread &m_thread;
    ServiceSettings m_settings;
    HttpServer m_server;
    Notifier m_faultChanged;

    mutable std::mutex m_mutex; ///< Guards what follows; never held across I/O.
    ServiceFault m_fault;
    ServiceStats m_stats;
};

} // namespace stackquay::standin
