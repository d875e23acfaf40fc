/// One request of a connection while it is answered. Internal to the library.
#pragma once

#include <functional>
#include <memory>

#include "net/client_connections.h"
#include "net/http_server.h"
#include "net/request_reader.h"

namespace stackquay {

class ServerExchange : public HttpExchange
{
public:
    /// @p readAhead: bytes of a next request have been read already. @p closing: each answer is the
    /// last of its connection.
    ServerExchange(ClientConnection &connection, ClientConnections &connections, bool readAhead,
                   IncomingRequest incoming, const HttpServerLimits &limits,
                   const std::atomic<bool> &closing);
    ~ServerExchange() override;

    const HttpRequest &request() const override { return m_request; }
    HttpRequest &request() override { return m_request; }
    Status respond(const HttpResponse &response) override;
    Status startStream(unsigned status, const HttpHeaders &headers,
                       std::string_view first) override;
    Status write(std::string_view chunk) override;
    Status finish(std::string_view last) override;
    void abort() override;
    void setAnswerDeadline(TimePoint deadline) override { m_answerDeadline = deadline; }
    bool changeAnswerMemory(ptrdiff_t bytes, const std::function<bool()> &wanted) override;
    void onHangup(std::function<void()> callback) override;
    bool callerLeft() const override;
    bool started() const override { return m_started; }
    bool keepAlive() const { return m_keepAlive && m_finished && !m_aborted; }

private:
    struct Hangup;

    template<typename Write>
    Status send(Write write);
    template<typename Message>
    void fillHead(Message &message, unsigned status, const HttpHeaders &headers);
    void watch();
    void endWatch();

    ClientConnection &m_connection;
    ClientConnections &m_connections;
    FiberSocket &m_stream;
    const bool m_readAhead;
    HttpRequest m_request;
    bool m_keepAlive;
    const HttpServerLimits &m_limits;
    const std::atomic<bool> &m_closing;
    TimePoint m_answerDeadline = TimePoint::max();
    std::shared_ptr<Hangup> m_hangup;
    bool m_started = false;
    bool m_finished = false;
    bool m_aborted = false;
};

} // namespace stackquay
