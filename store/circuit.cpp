#include "store/circuit.h"

namespace stackquay {

bool recordSuccess(CircuitBreaker &circuit)
{
    circuit.m_failures = 0;
    const bool ended = circuit.m_open;
    circuit.m_open = false;
    return ended;
}

bool recordFailure(CircuitBreaker &circuit)
{
    ++circuit.m_failures;
    if (circuit.m_open || circuit.m_failures < circuit.m_failureThreshold)
        return false;
    circuit.m_open = true;
    return true;
}

} // namespace stackquay
