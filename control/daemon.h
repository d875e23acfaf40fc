/// The whole daemon: threads, servers and control state, from start to drained.
#pragma once

#include <future>
#include <memory>

#include "control/control_state.h"

namespace stackquay {

class Daemon
{
public:
    /// Binds every address, and starts all threads.
    static Result<std::unique_ptr<Daemon>> start(const DaemonSettings &settings);
    ~Daemon();

    /// Begins to drain: not ready, takes for the drain lag what can end within the drain timeout,
    /// refuses what comes later, and finishes what is in progress. A second call ends at once, with
    /// truthful failures. Any thread.
    void drain();
    /// Returns once drained.
    void wait();

    Address httpAddress() const { return m_http; }
    Address udpAddress() const { return m_state->udpAddress(); }
    /// Whether any request is being answered. Any thread.
    bool requestsInProgress() const { return activeRequests() > 0; }
    Node &node() { return *m_node; }

private:
    explicit Daemon(const DaemonSettings &settings);

    Status init();
    Status listen();
    std::vector<ExtraRoute> operatorRoutes();
    size_t activeRequests() const;
    bool connected() const;
    void drainFiber();
    void beginDrain();
    void endRequests();

    DaemonSettings m_settings;
    MemoryBudget m_clientMemory;
    std::unique_ptr<Node> m_node;
    std::vector<std::unique_ptr<TrafficWorker>> m_workers;
    std::vector<std::unique_ptr<ClientConnections>> m_connections; ///< One for each worker.
    std::vector<std::unique_ptr<HttpServer>> m_servers;
    FiberThread m_control{ "control" };
    std::unique_ptr<ControlState> m_state;
    Address m_http;
    std::atomic<int> m_drains{ 0 };
    std::promise<void> m_drained;
};

} // namespace stackquay
