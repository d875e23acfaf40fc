/// A token bucket of calls whose takers queue: it can go into debt, and tells how long to wait.
#pragma once

#include <optional>

#include "core/core.h"

namespace stackquay {

struct CallBudget {
    double m_perSecond = 0; ///< Tokens that come back a second.
    double m_burst = 0; ///< Most tokens kept.
    double m_tokens = 0; ///< Negative while takers wait.
    TimePoint m_updated{};
};

/// With a full burst.
CallBudget makeCallBudget(double perSecond, double burst, TimePoint now);

/// Takes a token and returns how long to wait before the call. Takes none, and returns nothing, if
/// that would be more than @p maxWait.
std::optional<Duration> takeCall(CallBudget &budget, TimePoint now, Duration maxWait);

} // namespace stackquay
