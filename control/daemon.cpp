#include "control/daemon.h"

#include <fmt/format.h>
#include <unistd.h>

#include "control/command_http.h"

namespace stackquay {

namespace {

constexpr Millis DrainPoll{ 20 };
/// For the answers of the requests that are failed at the end.
constexpr Millis EndTimeout{ 2'000 };

Result<std::vector<Address>> parseAddresses(const std::vector<std::string> &texts)
{
    std::vector<Address> addresses;
    for (const std::string &text : texts) {
        const auto address = parseAddress(text);
        if (!address)
            return tl::unexpected(address.error());
        addresses.push_back(*address);
    }
    return addresses;
}

NodeSettings nodeSettings(const DaemonSettings &settings)
{
    NodeSettings node;
    node.m_vm = VmId(settings.m_vm.empty() ? "vm-" + randomToken().substr(0, 8) : settings.m_vm);
    node.m_incarnation = randomToken();
    node.m_dataCentre = DataCentreId(settings.m_dataCentre);
    node.m_policy = settings.m_policy;
    node.m_streamIdleTimeout = settings.m_streamIdleTimeout;
    node.m_drain.m_balancerNotice = settings.m_drainLag;
    node.m_drain.m_linger = settings.m_drainLag;
    node.m_drain.m_grace = settings.m_drainTimeout;
    return node;
}

size_t clientMemory(const DaemonSettings &settings)
{
    if (settings.m_clientMemoryBytes > 0)
        return settings.m_clientMemoryBytes;
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long pageBytes = sysconf(_SC_PAGESIZE);
    return static_cast<size_t>(pages) * static_cast<size_t>(pageBytes) / 2;
}

} // namespace

Daemon::Daemon(const DaemonSettings &settings)
    : m_settings(settings)
    , m_clientMemory(clientMemory(settings))
{ }

Result<std::unique_ptr<Daemon>> Daemon::start(const DaemonSettings &settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon(settings));
    return daemon->init().and_then([&] { return daemon->listen(); }).map([&] {
        return std::move(daemon);
    });
}

Daemon::~Daemon()
{
    for (const auto &worker : m_workers)
        worker->thread().stop();
    m_control.stop();
    for (const auto &worker : m_workers)
        worker->thread().join();
    m_control.join();
}

Status Daemon::init()
{
    auto chart = loadRequestChart(m_settings.m_charts);
    if (!chart)
        return tl::unexpected(chart.error());
    auto platform = parseAddresses(m_settings.m_platform);
    if (!platform)
        return tl::unexpected(platform.error());
    auto seeds = parseAddresses(m_settings.m_seeds);
    if (!seeds)
        return tl::unexpected(seeds.error());
    m_node = std::make_unique<Node>(nodeSettings(m_settings), std::move(*chart));
    m_state = std::make_unique<ControlState>(*m_node, m_control, m_settings, std::move(*platform),
                                             std::move(*seeds));
    for (uint32_t i = 0; i < m_settings.m_threads; ++i)
        m_workers.push_back(std::make_unique<TrafficWorker>(*m_node, fmt::format("traffic-{}", i)));
    return {};
}

Status Daemon::listen()
{
    HttpServerLimits limits;
    limits.m_bodyBytes = m_settings.m_maxBodyBytes;
    limits.m_connections = std::max<size_t>(m_settings.m_maxConnections / m_workers.size(), 1);
    limits.m_usefulTime = readDeadlineHeader;
    m_http = m_settings.m_http;
    for (const auto &worker : m_workers) {
        m_connections.push_back(
            std::make_unique<ClientConnections>(worker->thread(), m_clientMemory));
        m_servers.push_back(std::make_unique<HttpServer>(worker->thread(),
                                                         makeRoutes(*worker, operatorRoutes()),
                                                         limits, m_connections.back().get()));
        const auto bound = m_servers.back()->listen(m_http);
        if (!bound)
            return tl::unexpected(bound.error());
        m_http = *bound;
    }
    std::vector<const ClientConnections *> connections;
    for (const auto &thread : m_connections)
        connections.push_back(thread.get());
    exportClientMemory(m_node->m_metrics, m_clientMemory, std::move(connections));
    const Status peers = m_state->listen(m_http);
    if (!peers)
        return peers;
    m_control.start();
    m_control.post([this] { m_state->start(); });
    for (const auto &worker : m_workers)
        worker->thread().start();
    log(LogPart::Main)
        .info("Started. vm={} data_centre={} http={}", m_node->m_settings.m_vm.str(),
              m_settings.m_dataCentre, toString(m_http));
    return {};
}

std::vector<ExtraRoute> Daemon::operatorRoutes()
{
    return { { CommandPath, makeCommandHandler(m_control, m_state->commands()) },
             { ReportPath, makeReportHandler(m_control, m_state->report()) } };
}

void Daemon::drain()
{
    const int drains = ++m_drains;
    if (drains == 1)
        m_control.post([this] { drainFiber(); });
    if (drains == 2) {
        log(LogPart::Main).warn("Ending at once.");
        endRequests();
    }
}

size_t Daemon::activeRequests() const
{
    size_t active = 0;
    for (const auto &server : m_servers)
        active += server->activeRequests();
    return active;
}

bool Daemon::connected() const
{
    return std::any_of(m_servers.begin(), m_servers.end(),
                       [](const auto &server) { return server->connections() > 0; });
}

void Daemon::drainFiber()
{
    beginDrain();
    const DrainPlan plan = m_node->drainPlan();
    while (!m_node->m_ending && !shouldExit(plan, Clock::now(), activeRequests())
           && sleepFor(m_control.context(), DrainPoll)) { }
    // A request that was just being read may have been taken, so that there is still work.
    for (const auto &server : m_servers)
        server->drain();
    const TimePoint giveUp = plan.m_drainStartedAt + plan.m_grace;
    while (connected() && !m_node->m_ending && Clock::now() < giveUp
           && sleepFor(m_control.context(), DrainPoll)) { }
    endRequests();
    const TimePoint end = Clock::now() + EndTimeout;
    while (connected() && Clock::now() < end && sleepFor(m_control.context(), DrainPoll)) { }
    log(LogPart::Main).info("Drained. in_progress={}", activeRequests());
    m_drained.set_value();
}

void Daemon::beginDrain()
{
    log(LogPart::Main).info("Draining. in_progress={}", activeRequests());
    m_node->m_drainBegun = Clock::now();
    for (const auto &server : m_servers)
        server->closeAfterAnswers();
    m_state->leave();
}

/// Gives each request its end while the threads can still send it: once they stop, a wait that
/// breaks off looks like the failure of whoever was waited for.
void Daemon::endRequests()
{
    m_node->m_ending = true;
    for (const auto &server : m_servers)
        server->refuseUnread();
    for (const auto &worker : m_workers)
        worker->failRequests();
}

void Daemon::wait()
{
    m_drained.get_future().wait();
}

} // namespace stackquay
