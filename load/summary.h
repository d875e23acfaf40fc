/// Exact percentiles and counts of groups of records.
#pragma once

#include <functional>

#include "load/runner.h"

namespace stackquay {

struct Percentiles {
    Micros m_p50{ 0 };
    Micros m_p95{ 0 };
    Micros m_p99{ 0 };
    Micros m_max{ 0 };
};

/// Exact nearest-rank percentiles; all zero of no samples.
Percentiles percentilesOf(std::vector<Micros> samples);

struct GroupSummary {
    size_t m_count = 0;
    std::array<size_t, LoadOutcomeCount> m_outcomes{};
    uint64_t m_promptTokens = 0; ///< Of complete requests, as are the rest.
    uint64_t m_cachedTokens = 0;
    uint64_t m_outputTokens = 0;
    Percentiles m_firstToken;
    Percentiles m_meanGap;
    Percentiles m_longestGap;
    Percentiles m_total;
    Percentiles m_refusal; ///< Time to a refusal.

    size_t outcome(LoadOutcome outcome) const { return m_outcomes[static_cast<size_t>(outcome)]; }
};

/// Summarizes the records for which @p in holds.
GroupSummary summarize(const std::vector<LoadRecord> &records,
                       const std::function<bool(const LoadRecord &)> &in);

/// Requests completed within the time of arrivals, a second.
double completedPerSecond(const LoadRun &run);
double tokensPerSecond(const LoadRun &run);

} // namespace stackquay
