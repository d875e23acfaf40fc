/// Retry budget of a whole fleet, enforced by each VM on its own.
///
/// In any time window, the fleet may send a service at most `ratio` times the clients' requests for
/// it, plus a fixed allowance, as retries. Each VM uses the ratio of its own requests and an equal
/// part of the allowance, so the sum over all VMs stays within the budget without messages.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/core.h"

namespace stackquay {

struct RetryWindowSettings {
    double m_ratio = 0.1; ///< Retries per client request.
    double m_slack = 10; ///< Fixed allowance of the whole fleet, in retries per window.
    uint32_t m_maxSharingVms = 1; ///< Max number of VMs that share m_slack.
    Duration m_window = Seconds(10);
    /// Fraction of the budget that is used, as the windows of the VMs and of an observer of the
    /// fleet are not aligned.
    double m_safetyFactor = 0.8;
    /// Fraction of the budget for attempts beside a silent one. The rest is kept for requests that
    /// have no attempt in progress any more.
    double m_parallelShare = 0.5;
};

enum class RetryPurpose {
    Replace, ///< The earlier attempts have failed.
    Parallel, ///< Beside an attempt that is silent.
};

/// Recent requests and retries of one VM for one service.
struct RetryWindow {
    std::deque<TimePoint> m_requests; ///< Arrival times of clients' requests, oldest first.
    std::deque<TimePoint> m_retries; ///< Times of retries, oldest first.
};

/// State of one VM.
struct RetryWindows {
    RetryWindowSettings m_settings;
    std::unordered_map<ServiceId, RetryWindow> m_services;
};

/// Records the arrival of a client's request for @p service.
void countArrival(RetryWindows &windows, const ServiceId &service, TimePoint now);

/// Whether the budget allows a retry to @p service now.
bool hasRetryBudget(RetryWindows &windows, const ServiceId &service, TimePoint now,
                    RetryPurpose purpose = RetryPurpose::Replace);
/// Records a retry to @p service and returns true if the budget allows it; else returns false.
bool spendRetryBudget(RetryWindows &windows, const ServiceId &service, TimePoint now,
                      RetryPurpose purpose = RetryPurpose::Replace);

} // namespace stackquay
