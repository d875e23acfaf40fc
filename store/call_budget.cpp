#include "store/call_budget.h"

#include <algorithm>

namespace stackquay {

namespace {

using FloatSeconds = std::chrono::duration<double>;

void refill(CallBudget &budget, TimePoint now)
{
    if (now <= budget.m_refilledAt)
        return;
    const double seconds = FloatSeconds(now - budget.m_refilledAt).count();
    budget.m_tokens = std::min(budget.m_burst, budget.m_tokens + seconds * budget.m_perSecond);
    budget.m_refilledAt = now;
}

} // namespace

CallBudget makeCallBudget(double perSecond, double burst, TimePoint now)
{
    return { perSecond, burst, burst, now };
}

std::optional<Duration> reserveCall(CallBudget &budget, TimePoint now, Duration maxWait)
{
    refill(budget, now);
    const double debt = 1 - budget.m_tokens;
    if (debt > 0 && budget.m_perSecond <= 0)
        return std::nullopt;
    const double seconds = debt > 0 ? debt / budget.m_perSecond : 0;
    const auto wait = std::chrono::ceil<Duration>(FloatSeconds(seconds));
    if (wait > maxWait)
        return std::nullopt;
    budget.m_tokens -= 1;
    return wait;
}

} // namespace stackquay
