#include "entry/ending.h"

namespace stackquay {

namespace {

/// Another VM can take the request at once; this only keeps callers from coming back together.
constexpr Millis RetryAfter{ 1'000 };

} // namespace

std::optional<Refusal> refuseIfEnding(const Node &node, TimePoint deadline)
{
    const TimePoint now = Clock::now();
    if (!node.m_ending && mayTake(node.drainPlan(), now, { deadline - now }))
        return std::nullopt;
    return endingRefusal(Outcome::RefusedNotRun);
}

Refusal endingRefusal(Outcome outcome)
{
    const bool notRun = outcome == Outcome::RefusedNotRun;
    Refusal refusal;
    refusal.m_error = notRun ? RequestError::ShuttingDown : RequestError::AnswerCut;
    refusal.m_outcome = outcome;
    refusal.m_message = "this VM is shutting down";
    refusal.m_retryAfter = notRun ? RetryAfter : Millis(0);
    return refusal;
}

} // namespace stackquay
