/// Client of plain services.
#pragma once

#include "net/net.h"

namespace stackquay {

struct ServiceCall {
    HttpRequest m_request; ///< Target and headers as sent to the service.
    std::string_view m_body; ///< In place of the request's own. Must outlive the call.
    AttemptId m_attempt;
    bool m_repeatable = true; ///< False: sent on a new connection.
    Duration m_timeout = Seconds(30);
    ReserveMemory m_reserve; ///< For the body of the response; empty: no bound but its length.
};

struct ServiceFailure {
    bool m_notRun = false; ///< True only if the service reported it or no byte was sent.
    Error m_error;
};

/// Cancels a call from another fiber of the same thread.
class ServiceCallCancellation
{
public:
    /// Makes the call return Cancelled. A call that is still connecting returns once it is
    /// connected.
    void cancel();
    bool cancelled() const { return m_cancelled; }
    /// Sets the connection that the call uses; null while there is none.
    void setConnection(HttpConnection *connection) { m_connection = connection; }

private:
    HttpConnection *m_connection = nullptr;
    bool m_cancelled = false;
};

/// Sends the call once and waits for the whole response. A call that is not repeatable uses a new
/// connection.
tl::expected<HttpResponse, ServiceFailure> callService(HttpPool &pool, const Address &address,
                                                       ServiceCall call,
                                                       ServiceCallCancellation &cancellation);

} // namespace stackquay
