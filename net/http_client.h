/// An HTTP/1.1 client for fibers: whole calls and streamed answers, over kept-alive connections.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "net/address.h"
#include "net/fiber_thread.h"
#include "net/http_message.h"
#include "net/silence.h"

namespace stackquay {

/// Of an answer that is collected whole, unless its caller gives another bound. The answers of the
/// store are lists of some thousand entries at most.
constexpr size_t DefaultBodyLimit = 16 * 1024 * 1024;

/// Reserves memory for a body, in place of what was reserved before; false if there is none.
using ReserveMemory = std::function<bool(size_t bytes)>;

/// One connection, used by one fiber at a time; cancel() may come from another fiber of its thread.
class HttpConnection
{
public:
    explicit HttpConnection(boost::asio::io_context &context);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    Status connect(const Address &address, Duration timeout, const SilenceBounds &silence = {});
    /// Sends a request. An error says whether any byte may have left in bytesSent().
    /// InvalidArgument if the request's head is not HTTP, see checkRequestHead(): nothing is sent
    /// then.
    Status send(const HttpRequest &request, Duration timeout);
    /// The same, with a body that the caller keeps in place of the request's own.
    Status send(const HttpRequest &request, std::string_view body, Duration timeout);
    /// Reads status and headers; the body is left for readBody() or readWhole().
    Result<HttpResponse> readHeader(Duration timeout);
    /// Reads the next piece of the body into @p piece; an empty one means a clean end.
    Status readBody(std::string &piece, Duration timeout);
    /// Reads the rest of the body. ProtocolError if it is longer than @p limit; the connection is
    /// closed then, and nothing is read of a body whose stated length is beyond it. With
    /// @p reserve, the body is read only as far as there is memory: ResourceExhausted if it says
    /// that there is none; it may block the fiber.
    Result<std::string> readWhole(Duration timeout, size_t limit = DefaultBodyLimit,
                                  const ReserveMemory &reserve = {});
    /// Closes the connection; a waiting call returns Cancelled.
    void cancel();

    /// Called while a read waits for bytes, once the time of expectBytesBy() has come. Returns when
    /// it is called next; nothing ends the read as cancel() does. The connection stays open
    /// meanwhile. Empty: none.
    using SilenceHandler = std::function<std::optional<TimePoint>()>;
    void setSilenceHandler(SilenceHandler handler);
    void expectBytesBy(TimePoint time);
    /// Waits, within @p timeout, until readable(); returns whether it is. Not beside a read.
    bool awaitReadable(Duration timeout);
    /// Ends an awaitReadable() of another fiber.
    void stopAwaiting();

    size_t bytesSent() const;
    /// Whether the last answer ended cleanly and the peer keeps the connection open.
    bool reusable() const;
    /// Whether an idle connection is still open at the peer's end, as far as is known, and was not
    /// idle for so long that the peer may be closing it.
    bool alive() const;
    /// Notes that the connection is idle from now on.
    void beginIdle();
    /// Whether it carried a request before the present one.
    bool reused() const;
    /// Whether the response has neither a length nor chunks, so that the end of the connection is
    /// its end. To be called once the header was read.
    bool responseEndsWithConnection() const;
    /// Since it was last proved to carry bytes both ways, by a whole answer.
    Duration idleFor() const;
    /// Whether it failed because the peer's system, not only its program, answered nothing.
    bool silent() const;
    /// Whether connect() failed because nobody listens at the address.
    bool refused() const;
    /// This side's port; zero: not open.
    uint16_t localPort() const;
    /// When the last request was sent.
    TimePoint sentAt() const;
    /// When bytes of the peer were last read; zero: never.
    TimePoint lastReadAt() const;
    /// Whether bytes, or the end of the connection, have arrived and were not taken from the
    /// socket.
    bool readable() const;
    /// Whether bytes have arrived that were not taken from the socket.
    bool hasBytes() const;
    /// Whether the peer's system has not acknowledged all that was sent.
    bool unacknowledged() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

struct HttpCallOptions {
    Duration m_timeout = Seconds(10); ///< For the whole call.
    size_t m_bodyLimit = DefaultBodyLimit;
    /// A kept connection that brings nothing for so long is replaced by a new one, once, if the
    /// call is repeatable; zero: only one that the system ends.
    Duration m_replaceAfter{ 0 };
    /// Whether a call on a replaced connection has its whole time again: for those that wait.
    bool m_anew = false;
};

/// Kept-alive connections of one FiberThread. Not shared between threads.
class HttpPool
{
public:
    explicit HttpPool(boost::asio::io_context &context, size_t idlePerAddress = 64,
                      const SilenceBounds &silence = {});

    /// An open connection to @p address: a new one if @p fresh, or if none was used within
    /// @p longestIdle. Cancelled if the thread is stopping: an idle connection would else still
    /// take a request, whose answer nobody reads.
    Result<std::unique_ptr<HttpConnection>> acquire(const Address &address, Duration timeout,
                                                    bool fresh = false,
                                                    Duration longestIdle = Duration::max());
    /// Takes note that a connection to @p address fell silent. Those that were not used since its
    /// request was sent are dropped; those to all addresses, if two fall silent together.
    void noteSilent(const Address &address, const HttpConnection &connection);
    /// Keeps the connection for later if it can be reused.
    void release(const Address &address, std::unique_ptr<HttpConnection> connection);
    /// Drops the idle connections to @p address, whose program is another one now.
    void forget(const Address &address);
    /// One whole call. A reused connection that the peer had closed, or any that fell silent, is
    /// replaced once, but only if @p repeatable.
    Result<HttpResponse> call(const Address &address, const HttpRequest &request,
                              HttpCallOptions options = {}, bool repeatable = true);

private:
    void dropIdle(std::vector<std::unique_ptr<HttpConnection>> &idle, TimePoint unusedSince);

    boost::asio::io_context &m_context;
    size_t m_idlePerAddress;
    SilenceBounds m_silence;
    std::string m_silentAddress; ///< Where a connection last fell silent.
    TimePoint m_silentAt{};
    std::unordered_map<std::string, std::vector<std::unique_ptr<HttpConnection>>> m_idle;
};

} // namespace stackquay
