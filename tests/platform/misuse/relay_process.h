/// A daemon on the platform as a process of its own, before stand-ins of the store and the workers.
#pragma once

#include "tests/misuse/crowd.h"
#include "tests/misuse/watched_process.h"
#include "tests/platform/deployment.h"

namespace stackquay::misuse {

constexpr size_t Mebibyte = size_t(1) << 20;

/// The limits of the daemon's machine, as its settings file states them.
struct MachineLimits {
    size_t m_memoryMebibytes = 64;
    size_t m_descriptors = 600;

    /// Connections of clients that a daemon takes on this machine.
    size_t clientConnections() const { return (m_descriptors - 200) / 2; }
};

class RelayProcess
{
public:
    /// Of the configuration that the tests declare.
    static constexpr size_t MaxBodyBytes = 2 * Mebibyte;
    static constexpr size_t LongAnswerBytes = 3 * Mebibyte / 2;
    static constexpr size_t LongEventBytes = Mebibyte / 2;
    static constexpr Millis LongDelay{ 10'000 };

    explicit RelayProcess(const MachineLimits &limits = {});
    ~RelayProcess();

    /// Whether the daemon has become ready.
    bool start();
    Address clients() const { return { "127.0.0.1", m_firstPort }; }
    /// Where other VMs forward requests to.
    Address forward() const { return { "127.0.0.1", static_cast<uint16_t>(m_firstPort + 4) }; }
    WatchedProcess &daemon() { return *m_daemon; }
    const MachineLimits &limits() const { return m_limits; }
    /// The raw response to a request that keeps to all limits, on a connection of its own.
    std::string ordinaryResponse(const Address &address);
    /// Sends @p bytes as they are; the raw response.
    std::string exchange(const Address &address, const std::string &bytes);
    /// Requests that reached a worker.
    size_t runs() const { return m_deployment.totalRuns(); }
    std::vector<platform::WorkerRun> workerRuns();

private:
    void declare();
    void writeSettings() const;

    const MachineLimits m_limits;
    const std::string m_settingsFile;
    const uint16_t m_firstPort;
    platform::Deployment m_deployment;
    FiberThread m_client{ "client" };
    std::unique_ptr<WatchedProcess> m_daemon;
};

/// The head of a request on @p path, up to and without the blank line; @p more are further fields.
std::string requestHead(const std::string &method, const std::string &path,
                        const std::string &more = "");

} // namespace stackquay::misuse
