#include "control/daemon_settings.h"

namespace stackquay {

namespace {

using namespace std::chrono_literals;

constexpr uint32_t MostThreads = 64;
constexpr uint64_t LeastBodyBytes = 1024;
constexpr uint64_t MostBodyBytes = 1024ull * 1024 * 1024;
constexpr uint32_t MinConnections = 16;
constexpr uint32_t MaxConnections = 1'000'000;
constexpr uint64_t MaxMemoryBytes = 1ull << 50;

void addAddress(SettingsTable<DaemonSettings> &table, std::string name,
                Address DaemonSettings::*member, std::string help)
{
    table.parsed<Address>(
        std::move(name), member, "address", "an IP number and a port, a.b.c.d:port", parseAddress,
        [](const Address &address) { return toString(address); }, std::move(help));
}

} // namespace

SettingsTable<DaemonSettings> daemonSettingsTable()
{
    using S = DaemonSettings;
    SettingsTable<S> table("stackquayd", "Serves language traffic in one data centre.");
    table.text("config", &S::m_config,
               "Settings file of a platform, which then holds all that differs between VMs; empty "
               "starts the native daemon.");
    table.toggle("check-config", &S::m_checkConfig, "Only check the settings file, and end.");
    table.text("vm", &S::m_vm, "Name of this VM; empty takes a random one.");
    table.text("data-centre", &S::m_dataCentre,
               "Data centre of this VM, as named in the intent; the native daemon needs it.");
    addAddress(table, "http", &S::m_http,
               "Callers' and operators' address; port 0 asks the kernel.");
    addAddress(table, "peer", &S::m_peer, "Address for calls from other VMs.");
    addAddress(table, "udp", &S::m_udp, "Address for membership probes.");
    table.list("platform", &S::m_platform, "Addresses of the platform's object service.");
    table.list("seeds", &S::m_seeds, "UDP addresses of other VMs, besides the platform's list.");
    table.integer("threads", &S::m_threads, { 1, MostThreads }, "threads", "Traffic threads.");
    table.text("charts", &S::m_charts, "Directory of the state charts.");
    table.choice<RoutingPolicy>("routing-policy", &S::m_policy,
                                { { "round-robin", RoutingPolicy::RoundRobin },
                                  { "least-reported", RoutingPolicy::LeastReported },
                                  { "steward", RoutingPolicy::Steward } },
                                "How an endpoint is chosen.");
    table.duration("drain-lag", &S::m_drainLag, { 0ms, 5min },
                   "After SIGTERM, how long to go on accepting until the balancer has noticed.");
    table.duration("drain-timeout", &S::m_drainTimeout, { 0ms, 1h },
                   "After SIGTERM, how long requests in progress may take.");
    table.duration("load-poll-interval", &S::m_loadPollInterval, { 50ms, 1min },
                   "How often engines are asked for their load.");
    table.duration("stream-idle-timeout", &S::m_streamIdleTimeout, { 100ms, 10min },
                   "How long an engine may send nothing after its first token.");
    table.integer("max-body-bytes", &S::m_maxBodyBytes, { LeastBodyBytes, MostBodyBytes }, "bytes",
                  "Largest body of a request.");
    table.integer("max-connections", &S::m_maxConnections, { MinConnections, MaxConnections },
                  "connections",
                  "Most connections of callers and operators, on all threads together.");
    table.integer("client-memory-bytes", &S::m_clientMemoryBytes, { 0, MaxMemoryBytes }, "bytes",
                  "Most memory for request bodies and answers; 0 takes half of the machine's. A "
                  "request that finds none is refused with 503.");
    table.text("log-level", &S::m_logLevel, "A level, or levels by part: warn,entry=debug.");
    table.choice<LogFormat>("log-format", &S::m_logFormat,
                            { { "text", LogFormat::Text }, { "json", LogFormat::Json } },
                            "Form of the log lines.");
    return table;
}

} // namespace stackquay
