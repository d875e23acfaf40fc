/// Requests of the operating system to end, delivered to a FiberThread.
#pragma once

#include <functional>
#include <memory>

#include "net/fiber_thread.h"

namespace stackquay {

/// Turns SIGTERM and SIGINT into calls on one thread. One object a process.
class TerminationSignals
{
public:
    /// @p handler runs in a fiber of @p thread, once for each signal, with the count of signals so
    /// far: 1 asks for an orderly end, 2 and more for one at once. Make it before the thread
    /// starts, and destroy it before the thread object; a signal that comes early waits.
    TerminationSignals(FiberThread &thread, std::function<void(unsigned count)> handler);
    ~TerminationSignals();
    TerminationSignals(const TerminationSignals &) = delete;
    TerminationSignals &operator=(const TerminationSignals &) = delete;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
