#include "store/backoff.h"

#include <algorithm>

namespace stackquay {

Duration backoffDelay(const BackoffSettings &settings, unsigned failures, RandomEngine &random)
{
    Duration bound = std::min(settings.m_first, settings.m_most);
    for (unsigned i = 0; i < failures && bound < settings.m_most; ++i)
        bound = std::min(bound * 2, settings.m_most);
    std::uniform_int_distribution<Duration::rep> pick(0, bound.count());
    return Duration(pick(random));
}

} // namespace stackquay
