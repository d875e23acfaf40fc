/// One run of one routing policy over fake engines in simulated time.
#pragma once

#include <array>
#include <vector>

#include "bench/fake_engine.h"
#include "bench/workload.h"

namespace stackquay {

struct RoutingRunSettings {
    RoutingPolicy m_policy = RoutingPolicy::Steward;
    size_t m_endpoints = 420;
    size_t m_nodes = 70;
    uint32_t m_perShard = EndpointsPerShard;
    Micros m_hop{ 250 }; ///< One way between any two machines.
    Millis m_loadPeriod{ 500 }; ///< Between two reports of an engine's load.
    Millis m_loadLag{ 500 }; ///< From a report to the nodes' seeing it.
    Millis m_deadline{ 600'000 };
    WorkloadSettings m_workload;
    FakeEngineSettings m_engine;
    StewardSettings m_steward;
};

struct RoutingRunResult {
    std::array<std::vector<double>, static_cast<size_t>(LengthClass::Count)> m_ttftMillis;
    std::vector<double> m_decisionNanos; ///< Of requestGrant or the baseline's choice.
    std::vector<double> m_engineBusySeconds;
    double m_stewardNanos = 0; ///< All of the stewards' work.
    uint64_t m_wireBytes = 0; ///< Grant requests and decisions, packed.
    size_t m_stateBytes = 0; ///< Heap of all stewards at the end.
    uint64_t m_sharing = 0; ///< Requests with a shared prefix,
    uint64_t m_hits = 0; ///< and those that found the whole of it cached.
    uint64_t m_requests = 0;
    uint64_t m_refused = 0;
    uint64_t m_unfinished = 0;
};

RoutingRunResult runRouting(const RoutingRunSettings &settings);

/// Requests a second at which prefill without any cache keeps the engines busy for @p share.
double requestRate(const RoutingRunSettings &settings, double share);

} // namespace stackquay
