/// The requests of a run: open-loop arrivals, lengths, customers and shared prefixes, from a seed.
#pragma once

#include <vector>

#include "policy/policy.h"

namespace stackquay {

struct WorkloadSettings {
    uint64_t m_seed = 1;
    double m_requestsPerSecond = 100;
    Seconds m_length{ 60 };
    uint32_t m_customers = 1'300;
    uint32_t m_prefixesPerCustomer = 3;
    double m_sharedPrefix = 0.6; ///< Share of requests that begin with one of those.
    bool m_onlyShort = false; ///< The same arrivals without the long ones.
};

struct WorkloadRequest {
    Duration m_arrival{}; ///< From the start of the run.
    uint32_t m_customer = 0;
    LengthClass m_class = LengthClass::Short; ///< By the whole prompt, whatever is cached.
    uint64_t m_sharedTokens = 0; ///< Of the prefix that it has in common with others.
    RequestNeed m_need;
};

std::vector<WorkloadRequest> makeWorkload(const WorkloadSettings &settings);

} // namespace stackquay
