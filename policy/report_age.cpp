#include "policy/report_age.h"

#include <algorithm>

namespace stackquay {

uint64_t ageOf(TimePoint at, TimePoint now)
{
    const auto age = std::chrono::duration_cast<Millis>(now - at).count();
    return static_cast<uint64_t>(std::max<Millis::rep>(age, 0));
}

TimePoint timeOf(uint64_t ageMs, Duration retention, TimePoint now)
{
    const auto most = static_cast<uint64_t>(std::chrono::duration_cast<Millis>(retention).count());
    return now - Millis(std::min(ageMs, most));
}

} // namespace stackquay
