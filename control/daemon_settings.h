/// Settings of stackquayd.
#pragma once

#include "entry/entry.h"

namespace stackquay {

struct DaemonSettings {
    std::string m_config; ///< Settings file of a platform; empty: the native daemon.
    bool m_checkConfig = false; ///< Only check the file.
    std::string m_vm; ///< Empty: a random name.
    std::string m_dataCentre;
    Address m_http;
    Address m_peer;
    Address m_udp;
    std::vector<std::string> m_platform; ///< Addresses of the platform's object service.
    std::vector<std::string> m_seeds; ///< UDP addresses of other VMs of the data centre.
    uint32_t m_threads = 2;
    std::string m_charts = "charts";
    RoutingPolicy m_policy = RoutingPolicy::Steward;
    Millis m_drainLag{ 5'000 };
    Millis m_drainTimeout{ 900'000 };
    Millis m_loadPollInterval{ 1'000 };
    Millis m_streamIdleTimeout{ 10'000 };
    uint64_t m_maxBodyBytes = 16 * 1024 * 1024;
    uint32_t m_maxConnections = 20'000; ///< Of callers and operators, on all threads together.
    uint64_t m_clientMemoryBytes = 0; ///< Zero: half of the machine's memory.
    std::string m_logLevel = "info";
    LogFormat m_logFormat = LogFormat::Text;
};

/// The table of all settings, with their defaults and ranges.
SettingsTable<DaemonSettings> daemonSettingsTable();

} // namespace stackquay
