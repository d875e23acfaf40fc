/// Reads the requests of one connection within the limits of its server. Internal to the library.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>

#include "net/client_connections.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace stackquay {

struct IncomingRequest {
    HttpRequest m_request;
    bool m_keepAlive = false; ///< The client keeps the connection for further requests.
};

class RequestReader
{
public:
    using ErrorValue = boost::system::error_code;

    RequestReader(ClientConnection &connection, ClientConnections &connections);

    /// Waits for the first byte of a next request, for at most @p timeout.
    ErrorValue awaitRequest(Millis timeout);
    /// Whether bytes have been read that belong to no request yet.
    bool hasReadAhead() const { return m_buffer.size() > 0; }
    /// Reads a request. It is held by the connection's m_request until endRequest().
    tl::expected<IncomingRequest, ErrorValue> read(const HttpServerLimits &limits);
    /// Frees what was held for a request.
    void endRequest();
    /// Answers a request that read() failed on, if its client is still there. It has not run.
    void refuse(const ErrorValue &error, const HttpServerLimits &limits);
    /// Reads on after a refusal: closing with unread bytes would reset the connection, and the
    /// client would not get the refusal.
    void discardRest();

private:
    struct Incoming;

    ErrorValue readHead(Incoming &incoming, const HttpServerLimits &limits);
    ErrorValue readBody(Incoming &incoming, const HttpServerLimits &limits);
    ErrorValue readSome(Incoming &incoming);
    bool hold(const Incoming &incoming, size_t bodyBytes);
    bool growBody(Incoming &incoming, size_t most);

    ClientConnection &m_connection;
    ClientConnections &m_connections;
    boost::beast::flat_buffer m_buffer;
};

} // namespace stackquay
