#include "entry/entry_metrics.h"

namespace stackquay {

EntryMetrics::EntryMetrics(MetricsRegistry &registry)
    : m_registry(registry)
    , m_attempts(registry.counter("stackquay_attempts_total", "Attempts sent to endpoints."))
    , m_retries(registry.counter("stackquay_retries_total", "Attempts after the first."))
    , m_resumes(registry.counter("stackquay_resumes_total",
                                 "Interrupted streams resumed at their engine."))
    , m_fallbacks(registry.counter("stackquay_steward_fallbacks_total",
                                   "Attempts placed without a steward."))
    , m_tokens(registry.counter("stackquay_tokens_total", "Tokens forwarded to clients."))
{
    for (const Outcome outcome :
         { Outcome::Complete, Outcome::FailedMayHaveRun, Outcome::RefusedNotRun }) {
        m_outcomes.at(static_cast<size_t>(outcome)) =
            &registry.counter("stackquay_requests_total", "Requests by outcome.",
                              { { "outcome", std::string(outcomeName(outcome)) } });
    }
}

void EntryMetrics::countOutcome(Outcome outcome)
{
    m_outcomes.at(static_cast<size_t>(outcome))->add();
}

void EntryMetrics::recordTtft(const CustomerId &customer, const ModelId &model, LengthClass length,
                              Duration ttft)
{
    Histogram &histogram =
        m_registry.histogram("stackquay_ttft_seconds", "Time to first token.", SecondsAxis,
                             { { "customer", customer.str() },
                               { "model", model.str() },
                               { "length", std::string(lengthClassName(length)) } });
    histogram.record(std::chrono::duration<double>(ttft).count());
}

} // namespace stackquay
