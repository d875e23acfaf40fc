#include "core/clock.h"

#include <atomic>

#include <time.h> // NOLINT(modernize-deprecated-headers): the clocks of POSIX are named there.

namespace stackquay {

namespace {

std::atomic<BootClock::rep> suspendedForTests{ 0 };

} // namespace

BootClock::time_point BootClock::now() noexcept
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const duration sinceBoot = std::chrono::seconds(time.tv_sec)
                               + std::chrono::nanoseconds(time.tv_nsec)
                               + duration(suspendedForTests.load(std::memory_order_relaxed));
    return time_point(sinceBoot);
}

void BootClock::passSuspended(duration time) noexcept
{
    suspendedForTests += time.count();
}

} // namespace stackquay
