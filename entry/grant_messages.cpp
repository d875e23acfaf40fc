#include "entry/grant_messages.h"

#include <algorithm>

namespace stackquay {

uint64_t toMicros(Duration duration)
{
    const auto micros = std::chrono::duration_cast<Micros>(duration).count();
    return static_cast<uint64_t>(std::max<int64_t>(micros, 0));
}

} // namespace stackquay
