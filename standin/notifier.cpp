#include "standin/notifier.h"

namespace stackquay::standin {

bool Notifier::waitFor(Duration timeout)
{
    return waitUntil(Clock::now() + timeout);
}

bool Notifier::wait()
{
    return waitUntil(TimePoint::max());
}

bool Notifier::waitUntil(TimePoint until)
{
    ClockTimer timer(m_context, until);
    const auto place = m_waiting.insert(m_waiting.end(), &timer);
    boost::system::error_code ignored;
    timer.async_wait(Yield{ ignored });
    m_waiting.erase(place);
    return !detail::YieldWait::threadStopping();
}

void Notifier::notifyAll()
{
    for (ClockTimer *timer : m_waiting)
        timer->cancel();
}

} // namespace stackquay::standin
