#include "net/memory_budget.h"

namespace stackquay {

bool MemoryBudget::take(size_t bytes)
{
    size_t used = m_used;
    do {
        if (bytes > m_limit - used)
            return false;
    } while (!m_used.compare_exchange_weak(used, used + bytes));
    return true;
}

void MemoryBudget::giveBack(size_t bytes)
{
    m_used -= bytes;
}

bool MemoryHold::resize(size_t bytes)
{
    const size_t before = charged();
    const size_t after = bytes > m_allowance ? bytes - m_allowance : 0;
    if (after > before && !m_budget.take(after - before))
        return false;
    if (after < before)
        m_budget.giveBack(before - after);
    m_bytes = bytes;
    return true;
}

} // namespace stackquay
