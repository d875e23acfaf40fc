#include "policy/drain.h"

namespace stackquay {

bool isDraining(const DrainPlan &plan)
{
    return plan.m_begunAt != TimePoint{};
}

bool canEnd(const DrainPlan &plan, TimePoint now, Duration expected)
{
    return !isDraining(plan) || expected <= plan.m_begunAt + plan.m_grace - now;
}

bool mayTake(const DrainPlan &plan, TimePoint now, const RequestTime &time)
{
    if (canEnd(plan, now, time.m_max))
        return true;
    return now < plan.m_begunAt + plan.m_balancerNotice && canEnd(plan, now, time.m_expected);
}

bool endsNow(const DrainPlan &plan, TimePoint now, size_t inProgress)
{
    if (now >= plan.m_begunAt + plan.m_grace)
        return true;
    return inProgress == 0 && now >= plan.m_begunAt + plan.m_linger;
}

} // namespace stackquay
