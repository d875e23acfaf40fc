/// Decides what becomes of a request whose endpoint has sent nothing for too long.
///
/// The endpoint may have failed, or it stands still for a moment and then goes on; no message tells
/// the two apart. A silent attempt is therefore never ended for its silence. Another one may be
/// made beside it, and whichever sends something first goes on; the other is cancelled. So the
/// answer in progress is given up only once its replacement has begun.
#pragma once

#include "core/core.h"
#include "policy/ejection.h"

namespace stackquay {

struct SilentAttemptSettings {
    /// Time between decisions about an attempt that stays silent.
    Millis m_period{ 100 };
    /// If more than this share of the endpoints in use is silent, the cause is not a single
    /// endpoint. Unused endpoints up to this share of all are taken for silent, too.
    double m_maxFailingShare = 0.2;
};

/// A silent attempt, and the other endpoints of its service during the silence.
struct SilentAttempt {
    bool m_mayRunElsewhere = false; ///< It may run twice, and has attempts and time left.
    bool m_hasBudget = false; ///< The retry budget has a unit left for it.
    /// The connection has lost its way: the endpoint itself may be sound.
    bool m_unacknowledged = false;
    size_t m_aliveEndpoints = 0; ///< Endpoints that sent something.
    size_t m_silentEndpoints = 0; ///< Those that owe answers and sent nothing, with its own.
    size_t m_unusedEndpoints = 0; ///< Those without any attempt.
    size_t m_endpoints = 0; ///< All of the service.
};

enum class SilenceDecision {
    Wait,
    AttemptElsewhere, ///< Make another attempt beside it.
};

SilenceDecision decideSilence(const SilentAttemptSettings &settings, const SilentAttempt &attempt);

/// The evidence of the silence against its endpoint: none if many are silent together, or if the
/// connection lost its way.
FailureWeight silenceWeight(const SilentAttemptSettings &settings, const SilentAttempt &attempt);

} // namespace stackquay
