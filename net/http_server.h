/// An HTTP/1.1 server on one FiberThread: one fiber per connection.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "net/address.h"
#include "net/client_connections.h"
#include "net/fiber_thread.h"
#include "net/http_message.h"
#include "net/silence.h"

namespace stackquay {

/// Bounds on what a caller may send and how slowly.
struct HttpServerLimits {
    size_t m_headerBytes = 16 * 1024;
    size_t m_bodyBytes = 16 * 1024 * 1024;
    Millis m_headerTimeout{ 10'000 }; ///< For the whole header, once its first byte came.
    Millis m_bodyTimeout{ 60'000 }; ///< For the whole body, once the header was read.
    /// The time, from the head of a request on, within which its client needs the answer; nothing
    /// if the client does not say. A body that takes longer is of no use. Empty: not known.
    std::function<std::optional<Duration>(const HttpRequest &head)> m_usefulTime;
    Millis m_idleTimeout{ 75'000 }; ///< Between requests of a kept-alive connection.
    Millis m_writeTimeout{ 30'000 }; ///< A reader that takes nothing for this long is cut.
    size_t m_connections = 20'000;
    SilenceBounds m_silence; ///< Of the connections; set before listen().
    /// Receive buffer of a connection, which bounds what waits unread in its socket, and a body's
    /// speed to as much a round trip; zero: the system's. Set before listen().
    int m_receiveBytes = 0;
};

/// One request being answered. Valid until the handler returns; used only on its thread.
///
/// A handler calls either respond(), or startStream(), write() any number of times and then
/// finish() or abort(). A handler that returns without any gets status 500 sent.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    virtual HttpRequest &request() = 0;
    /// Sends a whole response. An error means that the caller is gone.
    virtual Status respond(const HttpResponse &response) = 0;
    /// Sends a status and headers; the body follows in chunks. @p first, unless empty, is the first
    /// chunk and goes out in the same write.
    virtual Status startStream(unsigned status, const HttpHeaders &headers,
                               std::string_view first = {}) = 0;
    /// Sends one chunk; waits while the caller reads slowly.
    virtual Status write(std::string_view chunk) = 0;
    /// Ends the chunked body, which tells the caller that it is whole. @p last, unless empty, is
    /// the last chunk and goes out in the same write.
    virtual Status finish(std::string_view last = {}) = 0;
    /// Cuts the connection without ending the body, which tells the caller that it is not whole.
    virtual void abort() = 0;
    /// Runs @p callback once on the exchange's thread if the caller hangs up before the end.
    virtual void onHangup(std::function<void()> callback) = 0;
    /// Whether the caller has hung up by now, also before a watch could tell. One system call.
    virtual bool callerLeft() const = 0;
    virtual bool started() const = 0;
    /// From then on the answer is of no use to the client. One that is ready is sent, also late,
    /// but does not wait long for a client that reads slowly.
    virtual void setAnswerDeadline(TimePoint deadline) = 0;
    /// Counts @p bytes more, or less, as held for the answer; see AnswerMemory. Blocks the fiber
    /// while memory is short and @p wanted holds. False if there is not enough.
    virtual bool changeAnswerMemory(ptrdiff_t bytes, const std::function<bool()> &wanted) = 0;
};

/// What a handler holds of an answer, such as a body that it collects. Those of one exchange add
/// up, and end before it.
class AnswerMemory
{
public:
    explicit AnswerMemory(HttpExchange &exchange)
        : m_exchange(&exchange)
    { }
    ~AnswerMemory() { release(); }
    AnswerMemory(AnswerMemory &&other) noexcept
        : m_exchange(other.m_exchange)
        , m_bytes(std::exchange(other.m_bytes, 0))
    { }
    AnswerMemory &operator=(AnswerMemory &&other) noexcept
    {
        release();
        m_exchange = other.m_exchange;
        m_bytes = std::exchange(other.m_bytes, 0);
        return *this;
    }

    /// Holds @p bytes from now on. Blocks the fiber while memory is short and @p wanted holds;
    /// connections whose clients make no progress are closed meanwhile. False, and nothing changes,
    /// if there is not enough.
    [[nodiscard]] bool resize(size_t bytes, const std::function<bool()> &wanted);

private:
    void release();

    HttpExchange *m_exchange;
    size_t m_bytes = 0;
};

using HttpHandler = std::function<void(HttpExchange &)>;

class HttpServer
{
public:
    /// @p thread must outlive the server, and be stopped before it is destroyed. @p clients takes
    /// the connections of all servers of the thread that share a budget, and must outlive them;
    /// null: without a bound on memory.
    HttpServer(FiberThread &thread, HttpHandler handler, HttpServerLimits limits = {},
               ClientConnections *clients = nullptr);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Binds and starts to accept. Port 0 takes one from the kernel. Several servers may share an
    /// address, one per thread. Call before the thread starts or on it.
    Result<Address> listen(const Address &address);
    /// Takes other limits for the requests that follow. Any thread.
    void setLimits(const HttpServerLimits &limits);
    /// Announces in each answer that its connection closes, and goes on accepting. Any thread.
    void closeAfterAnswers();
    /// Accepts no more, and closes each connection after its present request. A request that has
    /// arrived by then is answered. Any thread.
    void drain();
    /// Ends the reading of requests of which only a part has come: 503, as nobody has seen them.
    /// For the end of a drain. Any thread.
    void refuseUnread();
    /// Requests in progress now. Any thread.
    size_t activeRequests() const;
    size_t connections() const;
    /// Requests of which only a part has come. On its thread.
    size_t partlyReadRequests() const;
    /// Requests that were read completely since the start. On its thread.
    uint64_t requestsRead() const;
    /// Whether new connections are taken, and were for the last second. False while all that it may
    /// have are busy with requests, or the process is out of descriptors. On its thread.
    bool accepting() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay
