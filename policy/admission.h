/// A customer's limits on one node: requests in progress and tokens a second, against the slice of
/// the customer's limits that the node holds.
///
/// The token bucket may be overdrawn by one request: a request is admitted unless the balance
/// is negative, and pays its whole size, so that one prompt larger than the bucket can run and the
/// long-run rate still holds.
#pragma once

#include <optional>

#include "core/core.h"
#include "policy/outcome.h"

namespace stackquay {

/// The part of a customer's limits that one node may use. No value: no limit.
struct LimitSlice {
    std::optional<double> m_tokensPerSecond;
    std::optional<uint32_t> m_concurrency;

    auto operator<=>(const LimitSlice &) const = default;
};

/// What one customer uses on one node.
struct CustomerUse {
    LimitSlice m_slice;
    double m_balance = 0; ///< Tokens; below zero after a large request.
    TimePoint m_updated{};
    uint32_t m_inProgress = 0;
};

/// How many seconds of its rate a customer may use at once.
constexpr double RateBurstSeconds = 2;

/// Replaces the slice. Requests in progress stay, even above a smaller limit.
void setSlice(CustomerUse &use, const LimitSlice &slice, TimePoint now);

/// Admits a request of @p tokens (prompt and longest answer), or says which limit refuses it and
/// when to ask again. An admitted request must be given back by finishRequest().
std::optional<Refusal> admitRequest(CustomerUse &use, double tokens, TimePoint now);

/// Ends an admitted request: returns the tokens that it did not use.
void finishRequest(CustomerUse &use, double admittedTokens, double usedTokens, TimePoint now);

} // namespace stackquay
