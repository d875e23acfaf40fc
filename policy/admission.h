/// Admission of a customer's requests on one node: limits requests in progress and tokens per
/// second to the slice of the customer's limits that the node holds.
///
/// The rate limit is a token bucket that one request may overdraw: a request is admitted unless the
/// balance is negative, and its whole size is withdrawn. So a request larger than the bucket can
/// run, and the long-run rate still holds.
#pragma once

#include <optional>

#include "core/core.h"
#include "policy/outcome.h"

namespace stackquay {

/// The part of a customer's limits that one node may use. A member without a value is not limited.
struct LimitSlice {
    std::optional<double> m_tokensPerSecond;
    std::optional<uint32_t> m_concurrency;

    auto operator<=>(const LimitSlice &) const = default;
};

/// Limits and current use of one customer on one node.
struct CustomerUse {
    LimitSlice m_slice;
    double m_balance = 0; ///< Tokens in the bucket; negative after a large request.
    TimePoint m_updated{}; ///< When m_balance was last refilled.
    uint32_t m_inProgress = 0; ///< Admitted requests that have not finished.
};

/// Size of the token bucket, in seconds of the customer's rate.
constexpr double RateBurstSeconds = 2;

/// Replaces the slice. Requests in progress continue
/// even if they exceed a smaller limit.
void setSlice(CustomerUse &use, const LimitSlice &slice, TimePoint now);

/// Admits a request of @p tokens (prompt and longest answer) and returns no value, or returns which
/// limit refuses it and when to retry. Each admitted request needs a call of finishRequest().
std::optional<Refusal> admitRequest(CustomerUse &use, double tokens, TimePoint now);

/// Ends an admitted request and refunds the tokens that it did not use.
void finishRequest(CustomerUse &use, double admittedTokens, double usedTokens, TimePoint now);

} // namespace stackquay
