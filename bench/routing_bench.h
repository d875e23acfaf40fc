/// The comparison of the routing policies: tables on standard output, last line as a summary.
#pragma once

#include "bench/routing_run.h"

namespace stackquay {

struct RoutingBenchSettings {
    RoutingRunSettings m_run;
    double m_load = 0.7; ///< Share of the engines' time that prefill takes without any cache.
    uint32_t m_seeds = 3;
    std::vector<RoutingPolicy> m_policies = { RoutingPolicy::RoundRobin,
                                              RoutingPolicy::LeastReported,
                                              RoutingPolicy::Steward };
};

void runRoutingBench(const RoutingBenchSettings &settings);

} // namespace stackquay
