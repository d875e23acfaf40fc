#include "entry/shutdown_refusal.h"

namespace stackquay {

namespace {

/// Another VM could accept a retry at once; the delay keeps clients from retrying all together.
constexpr Millis RetryAfter{ 1'000 };

} // namespace

std::optional<Refusal> refuseIfShuttingDown(const Node &node, TimePoint deadline)
{
    const TimePoint now = Clock::now();
    if (!node.m_ending && mayAccept(node.drainPlan(), now, { deadline - now }))
        return std::nullopt;
    return shutdownRefusal(Outcome::RefusedNotRun);
}

Refusal shutdownRefusal(Outcome outcome)
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
