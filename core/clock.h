/// Time types used in every signature that holds a time.
#pragma once

#include <chrono>

namespace stackquay {

/// Never goes back, and counts the time in which the machine was suspended. The steady clock
/// stands still then: a proof, a lease or a deadline of before would look as young as it was.
struct BootClock {
    using rep = std::chrono::nanoseconds::rep;
    using period = std::chrono::nanoseconds::period;
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock>;
    // NOLINTNEXTLINE(readability-identifier-naming): the name that the standard asks of a clock.
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
    /// Lets all later times be so much later, as if the machine had been suspended: for tests.
    static void passSuspended(duration time) noexcept;
};

using Clock = BootClock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;
/// Only for what people or other machines read; never for timeouts.
using WallTime = std::chrono::system_clock::time_point;

} // namespace stackquay
