#include "net/fiber_socket.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/beast/core/error.hpp>
#include <poll.h>

namespace stackquay {

namespace {

namespace asio = boost::asio;

using SocketTimer =
    asio::basic_waitable_timer<Clock, asio::wait_traits<Clock>, FiberSocket::Executor>;

} // namespace

/// Left pending when a call ends: setting it anew for every call would cost more than the call. It
/// looks at the deadline when it fires. Shared with its handler, which may outlive the socket.
struct FiberSocket::Timer : std::enable_shared_from_this<FiberSocket::Timer> {
    Timer(FiberSocket &owner, const Executor &executor)
        : m_owner(&owner)
        , m_timer(executor)
    { }

    FiberSocket *m_owner;
    SocketTimer m_timer;
    TimePoint m_firesAt = TimePoint::max(); ///< The maximum: not pending.

    void fireBy(TimePoint deadline)
    {
        if (m_firesAt <= deadline)
            return;
        m_firesAt = deadline;
        m_timer.expires_at(deadline);
        m_timer.async_wait([self = shared_from_this()](const ErrorValue &error) {
            if (error || !self->m_owner)
                return;
            self->m_firesAt = TimePoint::max();
            self->m_owner->onTimer();
        });
    }
};

FiberSocket::FiberSocket(Socket socket)
    : m_socket(std::move(socket))
    , m_timer(std::make_shared<Timer>(*this, m_socket.get_executor()))
{
    ErrorValue ignored;
    if (m_socket.is_open())
        m_socket.non_blocking(true, ignored);
}

FiberSocket::~FiberSocket()
{
    m_timer->m_owner = nullptr;
    m_timer->m_timer.cancel();
}

void FiberSocket::expiresAfter(Duration duration)
{
    m_timedOut = false;
    m_progressAt = Clock::now();
    m_progressBytes = 0;
    m_deadline = m_progressAt + duration;
}

boost::system::error_code FiberSocket::connect(const asio::ip::tcp::endpoint &endpoint)
{
    const Waiting waiting(*this);
    ErrorValue error;
    m_socket.async_connect(endpoint, Yield{ error });
    nameTimeout(error);
    if (!error)
        m_socket.non_blocking(true, error);
    return error;
}

void FiberSocket::cancel()
{
    ErrorValue ignored;
    m_socket.cancel(ignored);
}

void FiberSocket::close()
{
    ErrorValue ignored;
    m_socket.close(ignored);
}

void FiberSocket::beginWait()
{
    ++m_waiting;
    if (m_deadline != TimePoint::max())
        m_timer->fireBy(m_deadline);
}

bool FiberSocket::waitReadable()
{
    const Waiting waiting(*this);
    ErrorValue error;
    m_socket.async_wait(Socket::wait_read, Yield{ error });
    return !error;
}

bool FiberSocket::readable()
{
    pollfd wanted{ m_socket.native_handle(), POLLIN, 0 };
    return !m_socket.is_open() || ::poll(&wanted, 1, 0) > 0;
}

bool FiberSocket::hasBytes()
{
    ErrorValue error;
    return m_socket.available(error) > 0;
}

bool FiberSocket::waitWritable(ErrorValue &error)
{
    const Waiting waiting(*this);
    m_socket.async_wait(Socket::wait_write, Yield{ error });
    nameTimeout(error);
    return !error;
}

void FiberSocket::nameTimeout(ErrorValue &error) const
{
    if (m_timedOut && error == asio::error::operation_aborted)
        error = boost::beast::error::timeout;
}

void FiberSocket::onTimer()
{
    if (m_waiting == 0)
        return;
    if (Clock::now() < m_deadline) {
        m_timer->fireBy(m_deadline);
        return;
    }
    m_timedOut = true;
    cancel();
}

} // namespace stackquay
