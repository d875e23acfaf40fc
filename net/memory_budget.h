/// A bound on the bytes that a process holds for its clients, whatever they send or leave unread.
///
///     MemoryHold body(budget);
///     if (!body.resize(length))
///         return refuse();
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace stackquay {

/// Counts what holds have taken. Thread-safe; must outlive its holds.
class MemoryBudget
{
public:
    static constexpr size_t Unlimited = SIZE_MAX;

    explicit MemoryBudget(size_t limit = Unlimited)
        : m_limit(limit)
    { }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Takes @p bytes; false, and nothing is taken, if that exceeds the limit.
    bool take(size_t bytes);
    void giveBack(size_t bytes);

    size_t limit() const { return m_limit; }
    size_t used() const { return m_used; }

private:
    const size_t m_limit;
    std::atomic<size_t> m_used{ 0 };
};

/// The bytes that one owner holds. Gives them back when it is destroyed.
class MemoryHold
{
public:
    /// The first @p allowance bytes are not taken from @p budget: what many small owners hold at
    /// most is set aside for them beforehand, so that they never compete with large ones.
    explicit MemoryHold(MemoryBudget &budget, size_t allowance = 0)
        : m_budget(budget)
        , m_allowance(allowance)
    { }
    ~MemoryHold() { release(); }
    MemoryHold(const MemoryHold &) = delete;
    MemoryHold &operator=(const MemoryHold &) = delete;

    /// Holds @p bytes from now on; false, and nothing changes, if the budget does not have them.
    bool resize(size_t bytes);
    void release() { resize(0); }

    size_t bytes() const { return m_bytes; }
    /// The part that is taken from the budget.
    size_t charged() const { return m_bytes > m_allowance ? m_bytes - m_allowance : 0; }

private:
    MemoryBudget &m_budget;
    const size_t m_allowance;
    size_t m_bytes = 0;
};

} // namespace stackquay
