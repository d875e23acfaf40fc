/// A thread with its own fiber scheduler and Asio context.
///
/// One pump fiber polls the context while other fibers are ready and blocks in it otherwise, so
/// that an idle thread uses no CPU. Fibers of the thread sleep through sleepFor() and wait for I/O
/// through the Yield token; fiber primitives may also be signalled from other threads.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "core/core.h"

namespace stackquay {

class FiberThread
{
public:
    using Function = std::function<void()>;

    explicit FiberThread(std::string name);
    ~FiberThread();
    FiberThread(const FiberThread &) = delete;
    FiberThread &operator=(const FiberThread &) = delete;

    /// Starts the operating-system thread.
    void start();
    /// Runs @p function in a new fiber of this thread. May be called from any thread. Once the
    /// thread stops, the function is destroyed instead, which tells whoever waits for it.
    void post(Function function);
    /// Ends every wait of the thread's fibers with operation_aborted, lets them return, and then
    /// ends the thread. A loop in a fiber has to end when sleepFor() or its I/O says so.
    void stop();
    void join();

    boost::asio::io_context &context() { return m_context; }
    const std::string &name() const { return m_name; }

private:
    void run();
    void spawnPosted();
    void dropPosted();

    std::string m_name;
    boost::asio::io_context m_context;
    std::mutex m_mutex; ///< Guards what was posted.
    std::deque<Function> m_posted;
    bool m_stopped = false; ///< Nothing that is posted runs any more.
    std::thread m_thread;
};

/// Starts a fiber on the calling FiberThread.
void spawnFiber(FiberThread::Function function);

/// Whether the calling thread is stopping: then every wait ends at once, which says nothing about
/// whoever was waited for.
bool threadStopping();

/// Puts the calling fiber to sleep on @p context. False if its thread is stopping.
[[nodiscard]] bool sleepFor(boost::asio::io_context &context, Duration duration);

} // namespace stackquay
