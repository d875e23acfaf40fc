/// An amount of a customer's limits: rate and concurrency together.
#pragma once

#include "core/core.h"

namespace stackquay {

/// Both parts are finite; a part that a customer has no limit for is ignored by whoever applies it.
struct LimitAmount {
    double m_tokensPerSecond = 0;
    double m_concurrency = 0; ///< Requests in progress; may be a fraction until it is applied.

    bool operator==(const LimitAmount &) const = default;
    MSGPACK_DEFINE(m_tokensPerSecond, m_concurrency)
};

LimitAmount operator+(const LimitAmount &left, const LimitAmount &right);
LimitAmount operator-(const LimitAmount &left, const LimitAmount &right);
LimitAmount operator*(const LimitAmount &amount, double factor);
/// The larger, or smaller, of each part.
LimitAmount largest(const LimitAmount &left, const LimitAmount &right);
LimitAmount smallest(const LimitAmount &left, const LimitAmount &right);
/// Whether each part of @p left is at most that of @p right, but for rounding.
bool fits(const LimitAmount &left, const LimitAmount &right);

} // namespace stackquay
