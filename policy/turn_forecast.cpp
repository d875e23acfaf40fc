#include "policy/turn_forecast.h"

#include <algorithm>
#include <cmath>

namespace stackquay {

namespace {

/// Weight of the initial share, as time in which requests waited.
constexpr Millis InitialWeight{ 500 };
/// Change of the factor's logarithm by one observation. It follows a change of load within tens of
/// requests.
constexpr double FactorStep = 0.1;
constexpr Millis ForecastStep{ 50 };
constexpr std::chrono::hours LongestForecast{ 1 };

} // namespace

void StartRate::advance(TimePoint now)
{
    if (m_advancedTo == TimePoint{})
        m_advancedTo = now;
    if (now <= m_advancedTo)
        return;
    const FloatMillis passed = now - m_advancedTo;
    m_advancedTo = now;
    if (!m_waiting)
        return;
    const double kept = std::exp(-(passed / FloatMillis(RateMemory)));
    m_started *= kept;
    m_possible = m_possible * kept + m_servers * passed.count();
}

void StartRate::recordStart(double workMs, TimePoint now)
{
    advance(now);
    m_started += workMs;
}

void StartRate::recordLoad(double servers, bool waiting, TimePoint now)
{
    advance(now);
    m_waiting = waiting;
    m_servers = servers;
}

double StartRate::share() const
{
    const double prior = m_servers * FloatMillis(InitialWeight).count();
    if (m_possible + prior <= 0)
        return InitialRateShare;
    return std::max((m_started + InitialRateShare * prior) / (m_possible + prior), MinRateShare);
}

Duration predictTurn(const TurnLoad &load, double rateShare)
{
    const FloatMillis changeTime = load.m_changeTime;
    const auto serversAt = [&](FloatMillis at) {
        const double part = changeTime.count() > 0 ? std::min(at / changeTime, 1.0) : 1.0;
        return load.m_servers + (load.m_expectedServers - load.m_servers) * part;
    };
    FloatMillis at{ 0 };
    double left = load.m_aheadMs;
    for (; at < changeTime && left > 0; at += ForecastStep)
        left -= serversAt(at) * rateShare * FloatMillis(ForecastStep).count();
    if (left <= 0)
        return std::max(std::chrono::duration_cast<Duration>(at), load.m_blockedFor);
    const FloatMillis rest(left / (std::max(load.m_expectedServers, 1.0) * rateShare));
    const FloatMillis turn = std::max<FloatMillis>(at + rest, load.m_blockedFor);
    return std::chrono::duration_cast<Duration>(std::min<FloatMillis>(turn, LongestForecast));
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
    const bool late = actual > latest(predicted);
    m_factor *= std::exp(FactorStep * (late ? LatestQuantile : LatestQuantile - 1));
}

Duration TurnError::latest(Duration turn) const
{
    const FloatMillis scaled = FloatMillis(turn + ForecastStep) * m_factor - ForecastStep;
    return std::chrono::duration_cast<Duration>(std::max(scaled, FloatMillis(0)));
}

} // namespace stackquay
