#include "policy/drain.h"

namespace stackquay {

bool isDraining(const DrainPlan &plan)
{
    return plan.m_drainStartedAt != TimePoint{};
}

bool canFinishInGrace(const DrainPlan &plan, TimePoint now, Duration expected)
{
    return !isDraining(plan) || expected <= plan.m_drainStartedAt + plan.m_grace - now;
}

bool mayAccept(const DrainPlan &plan, TimePoint now, const RequestDuration &time)
{
    if (canFinishInGrace(plan, now, time.m_max))
        return true;
    return now < plan.m_drainStartedAt + plan.m_balancerNotice
           && canFinishInGrace(plan, now, time.m_expected);
}

bool shouldExit(const DrainPlan &plan, TimePoint now, size_t inProgress)
{
    if (now >= plan.m_drainStartedAt + plan.m_grace)
        return true;
    return inProgress == 0 && now >= plan.m_drainStartedAt + plan.m_linger;
}

} // namespace stackquay
