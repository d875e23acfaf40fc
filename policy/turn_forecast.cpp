#include "policy/turn_forecast.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// Weight of the initial share, as time in which requests waited.
constexpr Millis InitialWeight{ 500 };
/// Change of the margin by one observation. It follows a change of load within tens of requests.
constexpr Millis MarginStep{ 40 };
constexpr Millis MaxMargin{ 2'000 };
constexpr Millis ForecastStep{ 50 };
constexpr std::chrono::hours LongestForecast{ 1 };

} // namespace

void CompletionRate::advance(TimePoint now)
{
    if (m_advancedTo == TimePoint{})
        m_advancedTo = now;
    if (now <= m_advancedTo)
        return;
    const FloatMillis passed = now - m_advancedTo;
    m_advancedTo = now;
    if (!m_saturated)
        return;
    const double kept = std::exp(-(passed / FloatMillis(RateMemory)));
    m_completed *= kept;
    m_possible = m_possible * kept + m_engines * passed.count();
}

void CompletionRate::recordCompleted(double work, TimePoint now)
{
    advance(now);
    if (m_saturated)
        m_completed += work;
}

void CompletionRate::recordLoad(const TurnLoad &load, TimePoint now)
{
    advance(now);
    m_saturated =
        load.m_aheadMs > 0 || load.m_inProgressMs >= load.m_limitMsPerEngine * load.m_engines;
    m_engines = load.m_engines;
}

double CompletionRate::share() const
{
    const double prior = m_engines * FloatMillis(InitialWeight).count();
    if (m_possible + prior <= 0)
        return InitialRateShare;
    return std::clamp((m_completed + InitialRateShare * prior) / (m_possible + prior), MinRateShare,
                      1.0);
}

Duration predictTurn(const TurnLoad &load, double rateShare)
{
    const FloatMillis changeTime = load.m_changeTime;
    const auto enginesAt = [&](FloatMillis at) {
        const double part = changeTime.count() > 0 ? std::min(at / changeTime, 1.0) : 1.0;
        return load.m_engines + (load.m_expectedEngines - load.m_engines) * part;
    };
    const auto isTurn = [&](FloatMillis at, double completed) {
        return load.m_inProgressMs + load.m_aheadMs - completed
               <= load.m_limitMsPerEngine * enginesAt(at);
    };
    FloatMillis at{ 0 };
    double completed = 0;
    for (; at < changeTime && !isTurn(at, completed); at += ForecastStep)
        completed += enginesAt(at) * rateShare * FloatMillis(ForecastStep).count();
    if (isTurn(at, completed))
        return std::chrono::duration_cast<Duration>(at);
    const double engines = std::max(load.m_expectedEngines, 1.0);
    const double left = load.m_inProgressMs + load.m_aheadMs - completed
                        - load.m_limitMsPerEngine * load.m_expectedEngines;
    const FloatMillis rest(left / (engines * rateShare));
    return std::chrono::duration_cast<Duration>(std::min<FloatMillis>(at + rest, LongestForecast));
}

Duration forecastTurn(const TurnLoad &load, const ReturnSchedule &places, double rateShare,
                      TimePoint now)
{
    TurnLoad all = load;
    Duration turn = predictTurn(all, rateShare);
    const std::vector<DueWork> due = places.dueWork();
    for (auto next = due.begin(); next != due.end() && next->m_dueAt <= now + turn;) {
        for (; next != due.end() && next->m_dueAt <= now + turn; ++next)
            all.m_aheadMs += next->m_workMs;
        turn = predictTurn(all, rateShare);
    }
    return turn;
}

void TurnError::record(Duration predicted, Duration actual)
{
    const bool late = actual > predicted + m_margin;
    const double step = late ? MarginQuantile : MarginQuantile - 1;
    m_margin += std::chrono::duration_cast<Duration>(FloatMillis(MarginStep) * step);
    m_margin = std::clamp<Duration>(m_margin, -MaxMargin, MaxMargin);
}

} // namespace stackquay
