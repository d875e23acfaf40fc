#include "policy/silent_attempt.h"

#include <algorithm>

namespace stackquay {

SilenceDecision decideSilence(const SilentAttemptSettings &settings, const SilentAttempt &attempt)
{
    if (!attempt.m_mayRunElsewhere || !attempt.m_hasBudget)
        return SilenceDecision::Wait;
    // Where all that owe answers are silent, another one would be, too.
    const double fewUnused = settings.m_maxFailingShare * static_cast<double>(attempt.m_endpoints);
    const bool allSilent = attempt.m_aliveEndpoints == 0 && attempt.m_silentEndpoints > 1
                           && static_cast<double>(attempt.m_unusedEndpoints) <= fewUnused;
    if (allSilent && !attempt.m_unacknowledged)
        return SilenceDecision::Wait;
    return SilenceDecision::AttemptElsewhere;
}

FailureWeight silenceWeight(const SilentAttemptSettings &settings, const SilentAttempt &attempt)
{
    if (attempt.m_unacknowledged)
        return FailureWeight::None;
    const size_t inUse = attempt.m_aliveEndpoints + attempt.m_silentEndpoints;
    const double most = settings.m_maxFailingShare * static_cast<double>(inUse);
    return static_cast<double>(attempt.m_silentEndpoints) > std::max(most, 1.0)
               ? FailureWeight::None
               : FailureWeight::Weak;
}

} // namespace stackquay
