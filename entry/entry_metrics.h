/// Metrics of requests and their attempts.
#pragma once

#include <array>

#include "core/core.h"
#include "policy/policy.h"

namespace stackquay {

class EntryMetrics
{
public:
    explicit EntryMetrics(MetricsRegistry &registry);

    void countOutcome(Outcome outcome);
    void countAttempt() { m_attempts.add(); }
    void countRetry() { m_retries.add(); }
    void countFallback() { m_fallbacks.add(); }
    void countResume() { m_resumes.add(); }
    void countTokens(uint64_t tokens) { m_tokens.add(tokens); }
    /// Output tokens forwarded to clients since the start.
    uint64_t tokens() const { return m_tokens.value(); }
    /// Records the time to first token, measured from the arrival of the request.
    void recordTtft(const CustomerId &customer, const ModelId &model, LengthClass length,
                    Duration ttft);

private:
    static constexpr size_t OutcomeCount = 3;

    MetricsRegistry &m_registry;
    std::array<Counter *, OutcomeCount> m_outcomes{};
    Counter &m_attempts;
    Counter &m_retries;
    Counter &m_resumes;
    Counter &m_fallbacks;
    Counter &m_tokens;
};

} // namespace stackquay
