/// One call of a plain service.
#pragma once

#include "net/net.h"

namespace stackquay {

struct ServiceCall {
    HttpRequest m_request; ///< Target and headers as the service gets them.
    AttemptId m_attempt;
    bool m_repeatable = true;
    Duration m_timeout = Seconds(30);
};

struct ServiceFailure {
    bool m_notRun = false; ///< True only if the service said so or no byte left.
    Error m_error;
};

/// Breaks a call off from another fiber of its thread.
class ServiceCallBreaker
{
public:
    /// The call returns Cancelled. One that connects returns once it is connected.
    void cancel();
    bool cancelled() const { return m_cancelled; }
    /// The connection that the call is on; null before and after.
    void setConnection(HttpConnection *connection) { m_connection = connection; }

private:
    HttpConnection *m_connection = nullptr;
    bool m_cancelled = false;
};

/// Sends the call once; a call that is not repeatable goes on a fresh connection.
tl::expected<HttpResponse, ServiceFailure>
callService(HttpPool &pool, const Address &address, ServiceCall call, ServiceCallBreaker &breaker);

} // namespace stackquay
