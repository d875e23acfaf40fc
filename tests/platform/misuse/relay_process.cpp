#include "tests/platform/misuse/relay_process.h"

#include <filesystem>
#include <fstream>

#include <fmt/format.h>
#include <unistd.h>

#include "tests/support/loopback_ports.h"
#include "tests/support/raw_exchange.h"

namespace stackquay::misuse {

namespace {

constexpr uint16_t Ports = 5; ///< Clients, readiness, and three between VMs.
/// Memory above this many times the machine's ends the daemon.
constexpr size_t KillFactor = 4;
constexpr size_t Workers = 12;

platform::WorkerTask taskOf(const HttpRequest &request)
{
    platform::WorkerTask task;
    if (request.path() == "/slow/wait") {
        task.m_delay = RelayProcess::LongDelay;
        return task;
    }
    if (request.path().starts_with("/slow/"))
        task.m_bodyBytes = RelayProcess::LongAnswerBytes;
    if (request.path().starts_with("/flow/"))
        task.m_eventBytes = RelayProcess::LongEventBytes;
    return task;
}

} // namespace

std::string requestHead(const std::string &method, const std::string &path, const std::string &more)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: request-1\r\n"
                       "X-Deadline-Ms: 30000\r\n{}",
                       method, path, more);
}

RelayProcess::RelayProcess(const MachineLimits &limits)
    : m_limits(limits)
    , m_settingsFile((std::filesystem::temp_directory_path()
                      / fmt::format("stackquay-misuse-{}.json", getpid()))
                         .string())
    , m_firstPort(findFreePorts(firstTestPort(), Ports))
{
    m_client.start();
}

RelayProcess::~RelayProcess()
{
    m_daemon.reset();
    m_client.stop();
    m_client.join();
    std::filesystem::remove(m_settingsFile);
}

void RelayProcess::declare()
{
    m_deployment.m_maxBodyBytes = MaxBodyBytes;
    m_deployment.declare(
        1, R"(,{"name":"slow","host":"host.example","pathPrefix":"/slow/","kind":"safe",)"
           R"("timeoutMs":30000,"aimMs":200,"maxAttempts":2,"priority":1,"service":"plain"},)"
           R"({"name":"flow","host":"host.example","pathPrefix":"/flow/","kind":"stream",)"
           R"("timeoutMs":30000,"aimMs":5000,"gapAimMs":5000,"maxAttempts":2,"priority":1,)"
           R"("service":"model"})");
    for (size_t i = 0; i < Workers; ++i) {
        (**m_deployment.m_workers.emplace_back(
             std::make_unique<platform::HostedWorker>(fmt::format("worker-{}", i))))
            .setScript(taskOf);
        m_deployment.describe(*m_deployment.m_workers.back(), i % 2 == 0 ? "plain" : "model",
                              "ready", std::nullopt, 32);
    }
}

void RelayProcess::writeSettings() const
{
    std::ofstream file(m_settingsFile, std::ios::trunc);
    file << fmt::format(
        R"({{"nodeName":"vm-1","zone":"here","ip":"127.0.0.1","listen":{{"front":"127.0.0.1:{}",)"
        R"("ready":"127.0.0.1:{}"}},"platform":{{"address":"{}"}},"portRange":[{},{}],)"
        R"("bounds":{{"graceS":5,"retrySlack":1000}},)"
        R"("limits":{{"memoryMb":{},"maxFds":{}}}}})",
        m_firstPort, m_firstPort + 1, toString(m_deployment.m_store.address()), m_firstPort + 2,
        m_firstPort + Ports - 1, m_limits.m_memoryMebibytes, m_limits.m_descriptors);
}

bool RelayProcess::start()
{
    declare();
    writeSettings();
    ProcessOptions options;
    options.m_program = "stackquayd";
    options.m_arguments = { "--config", m_settingsFile };
    auto process = Process::start(options);
    if (!process)
        return false;
    m_daemon = std::make_unique<WatchedProcess>(std::move(*process),
                                                KillFactor * m_limits.m_memoryMebibytes * Mebibyte);
    constexpr Seconds StartTimeout{ 30 };
    return platform::eventually(
        [this] { return ordinaryResponse(clients()).starts_with("HTTP/1.1 200"); }, StartTimeout);
}

std::string RelayProcess::exchange(const Address &address, const std::string &bytes)
{
    return beginRawExchange(m_client, address, bytes).get();
}

std::string RelayProcess::ordinaryResponse(const Address &address)
{
    return exchange(address, requestHead("GET", "/safe/x", "Api-Key: key-of-one\r\n")
                                 + "Connection: close\r\n\r\n");
}

std::vector<platform::WorkerRun> RelayProcess::workerRuns()
{
    std::vector<platform::WorkerRun> all;
    for (const auto &worker : m_deployment.m_workers) {
        const auto runs = (**worker).runs();
        all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
}

} // namespace stackquay::misuse
