/// Circuit breaker of a client: after several failures in a row, calls fail without being sent.
#pragma once

namespace stackquay {

struct CircuitBreaker {
    unsigned m_failureThreshold = 5; ///< Failures in a row that open it.
    unsigned m_failures = 0; ///< In a row, so far.
    bool m_open = false; ///< Calls fail at once; only probes are sent.
};

/// Closes the breaker. Returns true if it was open, that is, if an outage ended.
bool recordSuccess(CircuitBreaker &circuit);
/// Returns true if this failure opened the breaker, that is, if an outage began.
bool recordFailure(CircuitBreaker &circuit);

} // namespace stackquay
