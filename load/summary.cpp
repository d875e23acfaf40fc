#include "load/summary.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

Micros rank(const std::vector<Micros> &sorted, double share)
{
    const auto count = static_cast<double>(sorted.size());
    const auto position = static_cast<size_t>(std::ceil(share * count));
    return sorted[std::max<size_t>(position, 1) - 1];
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

Percentiles percentilesOf(std::vector<Micros> samples)
{
    if (samples.empty())
        return {};
    std::sort(samples.begin(), samples.end());
    return { rank(samples, 0.50), rank(samples, 0.95), rank(samples, 0.99), samples.back() };
}

GroupSummary summarize(const std::vector<LoadRecord> &records,
                       const std::function<bool(const LoadRecord &)> &in)
{
    GroupSummary summary;
    std::vector<Micros> firstTokens;
    std::vector<Micros> meanGaps;
    std::vector<Micros> longestGaps;
    std::vector<Micros> totals;
    std::vector<Micros> refusals;
    for (const LoadRecord &record : records) {
        if (!in(record))
            continue;
        ++summary.m_count;
        ++summary.m_outcomes[static_cast<size_t>(record.m_outcome)];
        if (record.m_outcome == LoadOutcome::Refused)
            refusals.push_back(record.m_total);
        if (record.m_outcome != LoadOutcome::Complete)
            continue;
        summary.m_promptTokens += record.m_promptTokens;
        summary.m_cachedTokens += record.m_cachedTokens;
        summary.m_outputTokens += record.m_outputTokens;
        totals.push_back(record.m_total);
        if (record.m_outputTokens > 0)
            firstTokens.push_back(record.m_firstToken);
        if (record.m_outputTokens > 1) {
            meanGaps.push_back(record.m_meanGap);
            longestGaps.push_back(record.m_longestGap);
        }
    }
    summary.m_firstToken = percentilesOf(std::move(firstTokens));
    summary.m_meanGap = percentilesOf(std::move(meanGaps));
    summary.m_longestGap = percentilesOf(std::move(longestGaps));
    summary.m_total = percentilesOf(std::move(totals));
    summary.m_refusal = percentilesOf(std::move(refusals));
    return summary;
}

double completedPerSecond(const LoadRun &run)
{
    const auto inTime = [&](const LoadRecord &record) {
        return record.m_outcome == LoadOutcome::Complete
               && record.m_arrival + record.m_total <= run.m_sending;
    };
    const auto count = std::count_if(run.m_records.begin(), run.m_records.end(), inTime);
    return static_cast<double>(count) / seconds(run.m_sending);
}

double tokensPerSecond(const LoadRun &run)
{
    return static_cast<double>(run.m_tokensWhileSending) / seconds(run.m_sending);
}

} // namespace stackquay
