/// A token bucket that limits the rate of calls. A caller reserves a token ahead of time, which can
/// make the balance negative, and is told how long to wait before its call.
#pragma once

#include <optional>

#include "core/core.h"

namespace stackquay {

struct CallBudget {
    double m_perSecond = 0; ///< Refill rate in tokens per second.
    double m_burst = 0; ///< Capacity in tokens.
    double m_tokens = 0; ///< Balance; negative while callers wait for a refill.
    TimePoint m_refilledAt{}; ///< When m_tokens was last brought up to date.
};

/// A full bucket of @p burst tokens.
CallBudget makeCallBudget(double perSecond, double burst, TimePoint now);

/// Takes a token and returns how long the caller has to wait before its call. Takes no token and
/// returns nullopt if the wait would exceed @p maxWait.
std::optional<Duration> reserveCall(CallBudget &budget, TimePoint now, Duration maxWait);

} // namespace stackquay
