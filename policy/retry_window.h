/// Budget of repeated sends for a whole fleet, kept by each VM on its own.
///
/// In any window, the fleet may send a service at most `ratio` times the clients' requests for it,
/// plus a fixed slack, beyond the first send of each request. A VM spends the ratio of its own
/// requests and an equal part of the slack, so that the sum over all VMs holds without messages.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "core/core.h"

namespace stackquay {

struct RetryWindowSettings {
    double m_ratio = 0.1;
    double m_slack = 10; ///< Of the whole fleet.
    uint32_t m_sharers = 1; ///< The most VMs that the slack is divided by.
    Duration m_window = Seconds(10);
    double m_safety = 0.8; ///< Part that is used, as windows of VMs and judges do not align.
};

/// Sends to one service, of one VM.
struct RetryWindow {
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

struct RetryWindows {
    RetryWindowSettings m_settings;
    std::unordered_map<ServiceId, RetryWindow> m_services;
};

/// A client's request for @p service arrived.
void countArrival(RetryWindows &windows, const ServiceId &service, TimePoint now);

/// Whether the budget holds a repeated send to @p service.
bool repeatsLeft(RetryWindows &windows, const ServiceId &service, TimePoint now);
/// Takes one repeated send to @p service out of the budget; false if none is left.
bool takeRepeat(RetryWindows &windows, const ServiceId &service, TimePoint now);

} // namespace stackquay
