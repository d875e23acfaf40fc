#include "net/fiber_thread.h"

#include <condition_variable>

#include <boost/asio/post.hpp>
#include <boost/fiber/all.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>
#include <pthread.h>

#include "net/clock_timer.h"
#include "net/yield.h"

namespace stackquay {

namespace {

namespace fibers = boost::fibers;

constexpr size_t StackBytes = 128 * 1024;
constexpr size_t ThreadNameLimit = 15;

thread_local size_t liveFibers = 0;

/// Round robin that can tell whether a fiber other than the dispatcher is ready.
class PumpedScheduler : public fibers::algo::algorithm
{
public:
    explicit PumpedScheduler(boost::asio::io_context &context)
        : m_context(context)
    { }

    void awakened(fibers::context *fiber) noexcept override
    {
        fiber->ready_link(m_ready);
        if (!fiber->is_context(fibers::type::dispatcher_context))
            ++m_readyCount;
    }

    fibers::context *pick_next() noexcept override
    {
        if (m_ready.empty())
            return nullptr;
        fibers::context *fiber = &m_ready.front();
        m_ready.pop_front();
        if (!fiber->is_context(fibers::type::dispatcher_context))
            --m_readyCount;
        return fiber;
    }

    bool has_ready_fibers() const noexcept override { return m_readyCount > 0; }

    // Only reached when the pump fiber itself waits, as it does while the thread ends.
    void suspend_until(const std::chrono::steady_clock::time_point &until) noexcept override
    {
        std::unique_lock lock(m_mutex);
        const auto notified = [this] { return m_notified; };
        if (until == std::chrono::steady_clock::time_point::max())
            m_condition.wait(lock, notified);
        else
            m_condition.wait_until(lock, until, notified);
        m_notified = false;
    }

    // Wakes the pump, so that the dispatcher sees fibers readied by other threads.
    void notify() noexcept override
    {
        boost::asio::post(m_context, [] {});
        const std::lock_guard lock(m_mutex);
        m_notified = true;
        m_condition.notify_all();
    }

private:
    boost::asio::io_context &m_context;
    fibers::scheduler::ready_queue_type m_ready;
    size_t m_readyCount = 0;
    std::mutex m_mutex;
    std::condition_variable m_condition;
    bool m_notified = false;
};

} // namespace

FiberThread::FiberThread(std::string name)
    : m_name(std::move(name))
    , m_context(1)
{ }

FiberThread::~FiberThread()
{
    stop();
    join();
}

void FiberThread::start()
{
    m_thread = std::thread([this] { run(); });
    pthread_setname_np(m_thread.native_handle(), m_name.substr(0, ThreadNameLimit).c_str());
}

void FiberThread::post(Function function)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopped)
            return;
        m_posted.push_back(std::move(function));
    }
    boost::asio::post(m_context, [this] { spawnPosted(); });
}

void FiberThread::spawnPosted()
{
    Function function;
    {
        const std::lock_guard lock(m_mutex);
        function = std::move(m_posted.front());
        m_posted.pop_front();
    }
    spawnFiber(std::move(function));
}

// Destroyed without the lock: a destructor may post.
void FiberThread::dropPosted()
{
    std::deque<Function> dropped;
    const std::lock_guard lock(m_mutex);
    m_stopped = true;
    dropped.swap(m_posted);
}

void FiberThread::stop()
{
    m_context.stop();
}

void FiberThread::join()
{
    if (m_thread.joinable())
        m_thread.join();
}

void FiberThread::run()
{
    fibers::use_scheduling_algorithm<PumpedScheduler>(m_context);
    const auto work = boost::asio::make_work_guard(m_context);
    while (!m_context.stopped()) {
        m_context.poll();
        // Yield until only the pump is left, then wait for I/O.
        boost::this_fiber::yield();
        if (!fibers::has_ready_fibers())
            m_context.run_one();
    }
    detail::YieldWait::stopThread();
    dropPosted();
    while (liveFibers > 0)
        boost::this_fiber::yield();
}

void spawnFiber(FiberThread::Function function)
{
    thread_local fibers::pooled_fixedsize_stack stacks(StackBytes);
    ++liveFibers;
    fibers::fiber(fibers::launch::post, std::allocator_arg, stacks,
                  [function = std::move(function)]() mutable {
                      function();
                      function = nullptr;
                      --liveFibers;
                  })
        .detach();
}

bool threadStopping()
{
    return detail::YieldWait::threadStopping();
}

bool sleepFor(boost::asio::io_context &context, Duration duration)
{
    ClockTimer timer(context, duration);
    boost::system::error_code ignored;
    timer.async_wait(Yield{ ignored });
    return !threadStopping();
}

} // namespace stackquay
