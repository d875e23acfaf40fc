/// A rate and a concurrency, for amounts of a customer's limits.
#pragma once

#include "core/core.h"

namespace stackquay {

/// Both values are finite. A value for which the customer has no limit is ignored when the amount
/// is applied, see toLimitSlice().
struct LimitAmount {
    double m_tokensPerSecond = 0;
    double m_concurrency = 0; ///< Requests in progress; rounded down when it is applied.

    bool operator==(const LimitAmount &) const = default;
    MSGPACK_DEFINE(m_tokensPerSecond, m_concurrency)
};

LimitAmount operator+(const LimitAmount &left, const LimitAmount &right);
LimitAmount operator-(const LimitAmount &left, const LimitAmount &right);
LimitAmount operator*(const LimitAmount &amount, double factor);
/// The larger (smaller) rate and the larger (smaller) concurrency of the two amounts.
LimitAmount componentMax(const LimitAmount &left, const LimitAmount &right);
LimitAmount componentMin(const LimitAmount &left, const LimitAmount &right);
/// Whether neither value of @p left exceeds that of @p right, apart from rounding errors.
bool fitsWithin(const LimitAmount &left, const LimitAmount &right);

} // namespace stackquay
