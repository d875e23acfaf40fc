#include "policy/retry_window.h"

#include <algorithm>

namespace stackquay {

namespace {

void removeBefore(std::deque<TimePoint> &times, TimePoint start)
{
    while (!times.empty() && times.front() < start)
        times.pop_front();
}

} // namespace

void countArrival(RetryWindows &windows, const ServiceId &service, TimePoint now)
{
    RetryWindow &window = windows.m_services[service];
    removeBefore(window.m_requests, now - windows.m_settings.m_window);
    window.m_requests.push_back(now);
}

bool hasRetryBudget(RetryWindows &windows, const ServiceId &service, TimePoint now,
                    RetryPurpose purpose)
{
    const RetryWindowSettings &settings = windows.m_settings;
    RetryWindow &window = windows.m_services[service];
    removeBefore(window.m_requests, now - settings.m_window);
    removeBefore(window.m_retries, now - settings.m_window);
    const double slack = settings.m_slack / std::max(settings.m_maxSharingVms, 1u);
    const double allowed =
        settings.m_safetyFactor
        * (settings.m_ratio * static_cast<double>(window.m_requests.size()) + slack);
    // A VM with few requests may use its only retry for either purpose.
    const double parallel = std::max(settings.m_parallelShare * allowed, std::min(allowed, 1.0));
    return static_cast<double>(window.m_retries.size()) + 1
           <= (purpose == RetryPurpose::Parallel ? parallel : allowed);
}

bool spendRetryBudget(RetryWindows &windows, const ServiceId &service, TimePoint now,
                      RetryPurpose purpose)
{
    if (!hasRetryBudget(windows, service, now, purpose))
        return false;
    windows.m_services[service].m_retries.push_back(now);
    return true;
}

} // namespace stackquay
