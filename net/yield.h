/// Completion token that lets a fiber wait for an Asio operation.
///
///     boost::system::error_code error;
///     size_t size = socket.async_read_some(buffer, Yield { error });
#pragma once

#include <type_traits>
#include <utility>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace stackquay {

/// Waits in the calling fiber; the operation's error goes to m_error.
struct Yield {
    boost::system::error_code &m_error;
};

namespace detail {

/// One fiber's wait. Lives on its stack; linked into its thread's list, so that a stopping thread
/// can end the waits whose operations will never complete.
class YieldWait
{
public:
    YieldWait();
    ~YieldWait();
    YieldWait(const YieldWait &) = delete;
    YieldWait &operator=(const YieldWait &) = delete;

    /// False while the thread stops: nothing may be initiated then.
    bool mayStart() const;
    void wait();
    void complete(boost::system::error_code error);
    const boost::system::error_code &error() const { return m_error; }

    /// Ends every wait of the calling thread with operation_aborted, and refuses new ones.
    static void stopThread();
    static bool threadStopping();

private:
    boost::fibers::context *m_waiter = nullptr;
    bool m_done = false;
    boost::system::error_code m_error;
    YieldWait *m_previous = nullptr;
    YieldWait *m_next = nullptr;
};

} // namespace detail
} // namespace stackquay

template<typename ReturnType>
class boost::asio::async_result<stackquay::Yield, ReturnType(boost::system::error_code)>
{
public:
    template<typename Initiation, typename... Args>
    static void initiate(Initiation &&initiation, stackquay::Yield token, Args &&...args)
    {
        stackquay::detail::YieldWait wait;
        if (wait.mayStart()) {
            std::forward<Initiation>(initiation)(
                [&wait](boost::system::error_code error) { wait.complete(error); },
                std::forward<Args>(args)...);
            wait.wait();
        }
        token.m_error = wait.error();
    }
};

template<typename ReturnType, typename Value>
class boost::asio::async_result<stackquay::Yield, ReturnType(boost::system::error_code, Value)>
{
public:
    using Decayed = std::decay_t<Value>;

    template<typename Initiation, typename... Args>
    static Decayed initiate(Initiation &&initiation, stackquay::Yield token, Args &&...args)
    {
        stackquay::detail::YieldWait wait;
        Decayed result{};
        if (wait.mayStart()) {
            std::forward<Initiation>(initiation)(
                [&wait, &result](boost::system::error_code error, Decayed value) {
                    result = std::move(value);
                    wait.complete(error);
                },
                std::forward<Args>(args)...);
            wait.wait();
        }
        token.m_error = wait.error();
        return result;
    }
};
