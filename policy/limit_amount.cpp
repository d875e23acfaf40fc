#include "policy/limit_amount.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Relative tolerance for sums of floating-point amounts.
constexpr double RoundingSlack = 1e-9;

bool withinRounding(double left, double right)
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

LimitAmount componentMax(const LimitAmount &left, const LimitAmount &right)
{
    return { std::max(left.m_tokensPerSecond, right.m_tokensPerSecond),
             std::max(left.m_concurrency, right.m_concurrency) };
}

LimitAmount componentMin(const LimitAmount &left, const LimitAmount &right)
{
    return { std::min(left.m_tokensPerSecond, right.m_tokensPerSecond),
             std::min(left.m_concurrency, right.m_concurrency) };
}

bool fitsWithin(const LimitAmount &left, const LimitAmount &right)
{
    return withinRounding(left.m_tokensPerSecond, right.m_tokensPerSecond)
           && withinRounding(left.m_concurrency, right.m_concurrency);
}

} // namespace stackquay
