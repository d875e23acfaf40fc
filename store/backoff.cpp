#include "store/backoff.h"

#include <algorithm>

namespace stackquay {

Duration backoffDelay(const BackoffSettings &settings, unsigned failures, RandomEngine &random)
{
    Duration bound = std::min(settings.m_initialBound, settings.m_maxBound);
    for (unsigned i = 0; i < failures && bound < settings.m_maxBound; ++i)
        bound = std::min(bound * 2, settings.m_maxBound);
    std::uniform_int_distribution<Duration::rep> distribution(0, bound.count());
    return Duration(distribution(random));
}

} // namespace stackquay
