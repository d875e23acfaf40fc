/// Time types used in every signature that holds a time.
#pragma once

#include <chrono>

namespace stackquay {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;
/// Only for what people or other machines read; never for timeouts.
using WallTime = std::chrono::system_clock::time_point;

} // namespace stackquay
