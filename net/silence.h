/// Bounds on how long an open TCP connection may be silent altogether: it can lose its way without
/// a reset, and then only a timer tells.
#pragma once

#include "core/core.h"

namespace stackquay {

/// What the peer's system answers, not its program: a busy peer is not silent.
struct SilenceBounds {
    /// Bytes that nobody acknowledges for so long end the connection; zero: after the system's own
    /// quarter of an hour. The system counts from its first repeat, which is 200 ms after sending.
    Millis m_unacknowledged{ 0 };
    /// Whether the connection is also probed once a second while nothing is under way. Ends it 1 to
    /// 2 s after it fell silent, or after the bound above if that is longer. One probe lost to a
    /// bad link ends it too where the bound is below 2 s.
    bool m_probes = false;

    bool operator==(const SilenceBounds &) const = default;
};

/// Sets the bounds of a socket; connections that a listening one accepts have the same. Systems
/// that lack an option go without it.
void boundSilence(int socket, const SilenceBounds &bounds);
/// Bytes that were sent and that the peer's system has not acknowledged; zero if that is not known.
int unacknowledgedBytes(int socket);

} // namespace stackquay
