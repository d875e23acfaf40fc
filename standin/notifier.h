/// A wake-up call for fibers of one FiberThread.
#pragma once

#include <list>

#include "net/net.h"

namespace stackquay::standin {

/// Fibers check their condition, then wait here for a change. Used on its thread only. Unlike
/// bare fiber primitives, its waits end when the thread stops.
class Notifier
{
public:
    explicit Notifier(boost::asio::io_context &context)
        : m_context(context)
    { }

    /// Waits for notifyAll(), for at most @p timeout. False if the thread is stopping.
    [[nodiscard]] bool waitFor(Duration timeout);
    /// Waits for notifyAll(). False if the thread is stopping.
    [[nodiscard]] bool wait();
    void notifyAll();

private:
    bool waitUntil(TimePoint until);

    boost::asio::io_context &m_context;
    std::list<ClockTimer *> m_waiting;
};

} // namespace stackquay::standin
