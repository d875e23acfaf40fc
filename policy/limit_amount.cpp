#include "policy/limit_amount.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Relative slack for sums of rounded parts.
constexpr double RoundingSlack = 1e-9;

bool fitsPart(double left, double right)
{
    return left <= right + RoundingSlack * std::max(1.0, right);
}

} // namespace

LimitAmount operator+(const LimitAmount &left, const LimitAmount &right)
{
    return { left.m_tokensPerSecond + right.m_tokensPerSecond,
             left.m_concurrency + right.m_concurrency };
}

LimitAmount operator-(const LimitAmount &left, const LimitAmount &right)
{
    return { left.m_tokensPerSecond - right.m_tokensPerSecond,
             left.m_concurrency - right.m_concurrency };
}

LimitAmount operator*(const LimitAmount &amount, double factor)
{
    return { amount.m_tokensPerSecond * factor, amount.m_concurrency * factor };
}

LimitAmount largest(const LimitAmount &left, const LimitAmount &right)
{
    return { std::max(left.m_tokensPerSecond, right.m_tokensPerSecond),
             std::max(left.m_concurrency, right.m_concurrency) };
}

LimitAmount smallest(const LimitAmount &left, const LimitAmount &right)
{
    return { std::min(left.m_tokensPerSecond, right.m_tokensPerSecond),
             std::min(left.m_concurrency, right.m_concurrency) };
}

bool fits(const LimitAmount &left, const LimitAmount &right)
{
    return fitsPart(left.m_tokensPerSecond, right.m_tokensPerSecond)
           && fitsPart(left.m_concurrency, right.m_concurrency);
}

} // namespace stackquay
