#include "policy/retry_pool.h"

#include <algorithm>

namespace stackquay {

namespace {

double slackPart(const RetryWindowSettings &settings)
{
    return settings.m_slack / std::max(settings.m_maxSharingVms, 1u);
}

bool isReleased(const RetryDepositor &depositor, const RetryWindowSettings &settings, TimePoint now)
{
    return depositor.m_holder == 0
           || now >= depositor.m_depositedAt + RetryDepositTime + settings.m_window;
}

} // namespace

bool poolsRetries(const RetryWindowSettings &settings)
{
    return settings.m_safetyFactor * slackPart(settings) < 1;
}

RetryDeposit ownDeposit(RetryWindows &windows, TimePoint now)
{
    RetryDeposit part;
    part.m_slackPart = slackPart(windows.m_settings);
    for (auto &[service, window] : windows.m_services) {
        while (!window.m_requests.empty()
               && window.m_requests.front() < now - windows.m_settings.m_window)
            window.m_requests.pop_front();
        if (!window.m_requests.empty())
            part.m_requests[service] = static_cast<uint32_t>(window.m_requests.size());
    }
    return part;
}

bool mayDeposit(RetryDepositor &depositor, RetryWindows &windows, uint64_t holder, TimePoint now)
{
    if (holder != depositor.m_holder && !isReleased(depositor, windows.m_settings, now))
        return false;
    const TimePoint start = now - windows.m_settings.m_window;
    for (const auto &[service, window] : windows.m_services) {
        if (!window.m_retries.empty() && window.m_retries.back() >= start)
            return false;
    }
    depositor.m_holder = holder;
    depositor.m_depositedAt = now;
    return true;
}

bool ownsItsPart(const RetryDepositor &depositor, const RetryWindowSettings &settings,
                 TimePoint now)
{
    return isReleased(depositor, settings, now);
}

void receiveDeposit(RetryPool &pool, uint64_t origin, RetryDeposit part, TimePoint now)
{
    std::erase_if(pool.m_deposits,
                  [now](const auto &entry) { return entry.second.m_validUntil <= now; });
    pool.m_deposits[origin] = { std::move(part), now + RetryDepositTime - RetryDepositTransit };
}

double remainingRetries(RetryPool &pool, const RetryWindowSettings &settings,
                        const ServiceId &service, TimePoint now)
{
    double allowed = 0;
    for (const auto &[origin, deposit] : pool.m_deposits) {
        if (deposit.m_validUntil <= now)
            continue;
        const auto requests = deposit.m_part.m_requests.find(service);
        allowed += deposit.m_part.m_slackPart;
        if (requests != deposit.m_part.m_requests.end())
            allowed += settings.m_ratio * requests->second;
    }
    std::deque<TimePoint> &granted = pool.m_granted[service];
    while (!granted.empty() && granted.front() < now - settings.m_window)
        granted.pop_front();
    return settings.m_safetyFactor * allowed - static_cast<double>(granted.size());
}

bool grantRetry(RetryPool &pool, const RetryWindowSettings &settings, const ServiceId &service,
                TimePoint now)
{
    if (remainingRetries(pool, settings, service, now) < 1)
        return false;
    pool.m_granted[service].push_back(now);
    return true;
}

} // namespace stackquay
