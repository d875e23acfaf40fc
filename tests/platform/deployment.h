/// A deployment inside a test process: a store, endpoints and daemons, on loopback.
#pragma once

#include <future>
#include <memory>

#include "platform/platform.h"
#include "platform/standin/store_standin.h"
#include "platform/standin/worker_standin.h"
#include "relay/relay.h"
#include "standin/hosted.h"

namespace stackquay::platform {

using HostedStore = standin::Hosted<StoreStandin>;
using HostedWorker = standin::Hosted<WorkerStandin>;

/// What a client got.
struct ClientAnswer {
    unsigned m_status = 0; ///< Zero: no answer.
    HttpHeaders m_headers;
    std::string m_body; ///< As far as it came.
    size_t m_bodyBytes = 0; ///< The same, also if it was not kept.
    bool m_whole = false;
    Duration m_took{}; ///< From the first byte sent to the end.

    std::string header(std::string_view name) const
    {
        return std::string(findHeader(m_headers, name));
    }
};

struct ClientRequest {
    std::string m_method = "GET";
    std::string m_path = "/safe/x";
    std::string m_body;
    HttpHeaders m_headers;
    Millis m_deadline{ 3'000 };
    std::string m_key = "key-of-one";
    std::string m_id = "request-1";
    uint64_t m_promptTokens = 0; ///< Zero: no model request.
    Millis m_leaveAfter{ 0 }; ///< Zero: waits for the answer.
    bool m_keepBody = true; ///< False: only counts the answer's body.
    Millis m_readPause{ 0 }; ///< Before each further piece of the answer is read.
    Millis m_sendAfter{ 0 }; ///< From the opening of the connection to the first byte.
    std::optional<Address> m_via; ///< Connects there, not to the daemon.
};

/// A model request on the route of @p path.
ClientRequest streamRequest(const std::string &path = "/stream/x", uint64_t promptTokens = 2'000);

/// A request that may run once only.
ClientRequest unsafeRequest();

class Deployment
{
public:
    Deployment();
    ~Deployment();

    /// Routes /safe/, /unsafe/ and /public/ go to the service "plain"; /stream/ (resumable),
    /// /once/ (a stream that is not) and /long/ to "model".
    void declare(uint64_t version, const std::string &extraRoutes = "",
                 const std::string &keys = R"(["key-of-one"])");
    HostedWorker &addWorker(const std::string &service);
    /// @p address stands in the worker's place, if given.
    void describe(const HostedWorker &worker, const std::string &service,
                  const std::string &state = "ready", std::optional<Address> address = std::nullopt,
                  uint32_t slots = 8);
    /// The same, as written by the process that started at @p bornMs, Unix time.
    void describeProcess(const HostedWorker &worker, const std::string &service, uint64_t bornMs);
    /// @p store stands in the store's place, if given.
    RelayDaemon &addDaemon(std::optional<Address> store = std::nullopt);
    /// Waits until each daemon says that it is ready; false after some seconds.
    bool awaitReady();
    /// Waits until all daemons know all others.
    bool awaitPeers();
    ClientAnswer call(const ClientRequest &request, size_t daemon = 0);
    /// The same, without waiting for the answer.
    std::future<ClientAnswer> begin(const ClientRequest &request, size_t daemon = 0);
    /// Sends bytes as they are; what came back until the connection closed.
    std::future<std::string> beginRaw(const std::string &bytes, size_t daemon = 0);
    unsigned readyStatus(size_t daemon = 0);
    /// The endpoints of @p service that the daemon uses.
    size_t poolSize(const std::string &service, size_t daemon = 0);
    /// Of all workers.
    size_t totalRuns() const;
    /// The same, of one request.
    size_t runsOf(const std::string &requestId) const;

    HostedStore m_store;
    std::vector<std::unique_ptr<HostedWorker>> m_workers;
    std::vector<std::unique_ptr<RelayDaemon>> m_daemons;
    RelayBounds m_bounds;
    uint32_t m_millicores = 1'000; ///< Of the daemons that are added.
    uint32_t m_connections = 1'000; ///< Clients' connections that a daemon takes.
    std::string m_dataCentre = "here"; ///< Of the daemons that are added.
    size_t m_maxBodyBytes = 100'000; ///< Of clients' requests, as declare() sets it.
    const RelaySource *m_source =
        nullptr; ///< Of the same; null: the platform's. Must outlive them.

private:
    FiberThread m_clients{ "clients" };
};

/// Polls until @p condition holds; false after @p timeout.
bool eventually(const std::function<bool()> &condition, Duration timeout = Seconds(5));

/// The text of the events @p first to @p last as the stand-in writes them.
std::string eventsText(uint64_t first, uint64_t last);

} // namespace stackquay::platform
