/// What the process and its threads use, as the operating system counts it.
#pragma once

#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct ThreadStats {
    int m_id = 0;
    std::string m_name; ///< As given to the operating system, 15 characters at most.
    Millis m_cpuTime{ 0 };
};

struct ProcessStats {
    uint64_t m_residentBytes = 0;
    uint64_t m_peakResidentBytes = 0;
    Millis m_cpuTime{ 0 }; ///< User and system time of all threads, ended ones too.
    std::vector<ThreadStats> m_threads;
};

/// Unavailable if /proc cannot be read. CPU times count in the kernel's ticks, often 10 ms.
Result<ProcessStats> readProcessStats();

/// Shows the figures in @p registry, read at each exposition.
void exportProcessStats(MetricsRegistry &registry);

} // namespace stackquay
