#include "policy/overflow.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

constexpr double LevelsPerDoubling = 4;
constexpr double SmallestWaitMs = 1;

Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, Duration::period>(duration) * factor);
}

Duration remoteTime(const OverflowCandidate &candidate, const OverflowQuery &query)
{
    return 2 * candidate.m_oneWayDelay + fromWaitLevel(candidate.m_wait) + query.m_runTime;
}

bool usable(const OverflowSettings &settings, const OverflowCandidate &candidate)
{
    return candidate.m_reachable && candidate.m_age <= settings.m_maxReportAge
           && candidate.m_wait != NoCapacityLevel;
}

bool nearer(const OverflowCandidate &a, const OverflowCandidate &b)
{
    if (a.m_sameRegion != b.m_sameRegion)
        return a.m_sameRegion;
    if (a.m_oneWayDelay != b.m_oneWayDelay)
        return a.m_oneWayDelay < b.m_oneWayDelay;
    if (a.m_wait != b.m_wait)
        return a.m_wait < b.m_wait;
    return a.m_dataCentre < b.m_dataCentre;
}

} // namespace

WaitLevel toWaitLevel(Duration wait)
{
    const double ms = std::chrono::duration<double, std::milli>(wait).count();
    if (ms <= 0)
        return 0;
    const double level =
        std::ceil(LevelsPerDoubling * std::log2(std::max(ms / SmallestWaitMs, 1.0))) + 1;
    return static_cast<WaitLevel>(std::min(level, NoCapacityLevel - 1.0));
}

Duration fromWaitLevel(WaitLevel level)
{
    if (level == 0)
        return {};
    const double ms = SmallestWaitMs * std::exp2((level - 1) / LevelsPerDoubling);
    const std::chrono::duration<double, std::milli> wait(ms);
    if (wait >= std::chrono::hours(24))
        return std::chrono::hours(24);
    return std::chrono::ceil<Micros>(wait);
}

void stepOverflow(const OverflowSettings &settings, OverflowState &state, Duration ownWait,
                  const std::vector<OverflowCandidate> &candidates, TimePoint now)
{
    const bool anyUsable =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const auto &candidate) { return usable(settings, candidate); });
    if (!anyUsable) {
        state.m_fraction = 0;
        return;
    }
    if (now - state.m_lastStep < settings.m_stepInterval)
        return;
    const bool falling = ownWait < state.m_lastWait;
    state.m_lastStep = now;
    state.m_lastWait = ownWait;
    if (ownWait > settings.m_growAboveWait && !falling)
        state.m_fraction = std::min(state.m_fraction + settings.m_growthStep, 1.0);
    else if (ownWait < settings.m_shrinkBelowWait)
        state.m_fraction = std::max(state.m_fraction - settings.m_shrinkStep, 0.0);
}

std::optional<DataCentreId> chooseOverflow(const OverflowSettings &settings,
                                           const OverflowState &state, const OverflowQuery &query,
                                           const std::vector<OverflowCandidate> &candidates,
                                           TimePoint now, RandomEngine &random)
{
    if (query.m_forwarded)
        return std::nullopt;
    const Duration left = query.m_deadline - now;
    const Duration own = query.m_ownWait + query.m_runTime;
    const bool ownIsLate = scaled(own, settings.m_predictionFactor) > left;
    std::uniform_real_distribution<double> uniform(0, 1);
    if (!ownIsLate && uniform(random) >= state.m_fraction)
        return std::nullopt;

    const OverflowCandidate *best = nullptr;
    for (const OverflowCandidate &candidate : candidates) {
        const Duration there = remoteTime(candidate, query);
        const bool meetsDeadline = scaled(there, settings.m_predictionFactor) <= left;
        const bool hasRoom = fromWaitLevel(candidate.m_wait) <= settings.m_maxRemoteWait;
        const bool faster = there <= scaled(own, settings.m_maxRemoteTimeShare);
        const bool helps = ownIsLate || (hasRoom && faster);
        if (!usable(settings, candidate) || !meetsDeadline || !helps)
            continue;
        if (best == nullptr || nearer(candidate, *best))
            best = &candidate;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->m_dataCentre;
}

} // namespace stackquay
