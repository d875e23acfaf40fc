#include "policy/return_schedule.h"

#include <algorithm>

namespace stackquay {

void ReturnSchedule::keep(const ReturnPlace &place)
{
    if (m_places.size() < MaxPlaces || m_places.count(place.m_request) > 0)
        m_places[place.m_request] = place;
}

const ReturnPlace *ReturnSchedule::find(const Fingerprint &request, TimePoint now) const
{
    const auto found = m_places.find(request);
    return found != m_places.end() && found->second.m_expiresAt > now ? &found->second : nullptr;
}

void ReturnSchedule::release(const Fingerprint &request)
{
    m_places.erase(request);
}

std::vector<DueWork> ReturnSchedule::dueWork() const
{
    std::vector<DueWork> due;
    due.reserve(m_places.size());
    for (const auto &[request, place] : m_places)
        due.push_back({ place.m_dueAt, place.m_workMs });
    std::sort(due.begin(), due.end(), [](const DueWork &left, const DueWork &right) {
        return left.m_dueAt < right.m_dueAt;
    });
    return due;
}

void ReturnSchedule::dropExpired(TimePoint now)
{
    std::erase_if(m_places, [now](const auto &entry) { return entry.second.m_expiresAt <= now; });
}

Duration longestHonoured(const ReturnSettings &settings, Duration timeLeft)
{
    return std::max(std::chrono::duration_cast<Duration>(timeLeft * settings.m_maxShareOfTimeLeft),
                    Duration(settings.m_shortest));
}

ReturnAdvice adviseReturn(const ReturnSettings &settings, const ReturnQuery &query)
{
    const Duration left = query.m_deadline - query.m_now;
    if (query.m_turn + query.m_timeToComplete > left)
        return {};
    const Duration longest = longestHonoured(settings, left);
    return { std::clamp<Duration>(query.m_turn, settings.m_shortest, longest),
             query.m_turn <= longest };
}

} // namespace stackquay
