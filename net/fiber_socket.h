/// A TCP socket whose blocking calls block only the calling fiber.
#pragma once

#include <memory>

#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/core.h"
#include "net/thread_traffic.h"
#include "net/yield.h"

namespace stackquay {

/// Models Asio's and Beast's synchronous streams, hence the names read_some and write_some, so that
/// their plain read and write functions work on it. A call first tries without waiting; only one
/// that would block pays for a wait and its timer.
///
/// Used on one FiberThread: one fiber may read while another writes, and any may cancel().
class FiberSocket
{
public:
    using Executor = boost::asio::io_context::executor_type;
    using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, Executor>;
    using ErrorValue = boost::system::error_code;

    explicit FiberSocket(Socket socket);
    ~FiberSocket();
    FiberSocket(const FiberSocket &) = delete;
    FiberSocket &operator=(const FiberSocket &) = delete;

    /// Bounds the calls that follow: one that waits past it fails with beast::error::timeout.
    void expiresAfter(Duration duration);
    ErrorValue connect(const boost::asio::ip::tcp::endpoint &endpoint);

    template<typename Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Asio asks for.
    size_t read_some(const Buffers &buffers, ErrorValue &error)
    {
        const Waiting waiting(*this);
        const size_t size = m_socket.async_read_some(buffers, Yield{ error });
        nameTimeout(error);
        threadTraffic().m_received += size;
        noteProgress(size);
        return size;
    }

    template<typename Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Asio asks for.
    size_t write_some(const Buffers &buffers, ErrorValue &error)
    {
        for (;;) {
            const size_t size = m_socket.write_some(buffers, error);
            threadTraffic().m_sent += size;
            noteProgress(size);
            if (error != boost::asio::error::would_block)
                return size;
            if (!waitWritable(error))
                return 0;
        }
    }

    // Only named by the concept checks of Beast; never defined.
    template<typename Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Asio asks for.
    size_t read_some(const Buffers &buffers);
    template<typename Buffers>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that Asio asks for.
    size_t write_some(const Buffers &buffers);

    /// When expiresAfter() was called last, or later by when ProgressBytes were read or written.
    TimePoint progressAt() const { return m_progressAt; }
    /// Waits until something can be read, or the connection has ended; returns whether it is so.
    bool waitReadable();
    /// Whether a read would not wait: bytes have come, or the connection has ended or is closed.
    /// Leaves the error of a reset to the next read. A recv() with MSG_PEEK would clear it, and the
    /// read find an orderly end.
    bool readable();
    /// Whether a read would return bytes.
    bool hasBytes();
    /// Ends waiting calls with operation_aborted.
    void cancel();
    void close();
    Socket &socket() { return m_socket; }

private:
    struct Timer;

    /// A peer that sends or takes single bytes makes no progress.
    static constexpr size_t ProgressBytes = 4 * 1024;

    /// The timer runs only while a call waits.
    class Waiting
    {
    public:
        explicit Waiting(FiberSocket &socket)
            : m_socket(socket)
        {
            m_socket.beginWait();
        }
        ~Waiting() { --m_socket.m_waiting; }
        Waiting(const Waiting &) = delete;
        Waiting &operator=(const Waiting &) = delete;

    private:
        FiberSocket &m_socket;
    };

    void beginWait();
    void noteProgress(size_t bytes)
    {
        m_progressBytes += bytes;
        if (m_progressBytes < ProgressBytes)
            return;
        m_progressBytes = 0;
        m_progressAt = Clock::now();
    }
    bool waitWritable(ErrorValue &error);
    void nameTimeout(ErrorValue &error) const;
    void onTimer();

    Socket m_socket;
    std::shared_ptr<Timer> m_timer;
    TimePoint m_deadline = TimePoint::max();
    TimePoint m_progressAt{};
    size_t m_progressBytes = 0; ///< Since m_progressAt.
    size_t m_waiting = 0;
    bool m_timedOut = false;
};

} // namespace stackquay
