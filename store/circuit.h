/// The outage mode of a client: after several failures in a row, calls fail at once.
#pragma once

namespace stackquay {

struct Circuit {
    unsigned m_opensAfter = 5; ///< Failures in a row.
    unsigned m_failures = 0;
    bool m_open = false; ///< Calls fail at once; only probes go out.
};

/// True if this success ended an outage.
bool recordSuccess(Circuit &circuit);
/// True if this failure began an outage.
bool recordFailure(Circuit &circuit);

} // namespace stackquay
