#include "endpoint/service_call.h"

namespace stackquay {

namespace {

constexpr std::string_view AttemptHeader = "Stackquay-Attempt-Id";
constexpr std::string_view NotRunHeader = "Stackquay-Not-Run";

tl::unexpected<ServiceFailure> fail(bool notRun, Error error)
{
    return tl::unexpected(ServiceFailure{ notRun, std::move(error) });
}

/// Sends the call and reads its whole answer.
tl::expected<HttpResponse, ServiceFailure> exchange(HttpConnection &connection,
                                                    const HttpRequest &request, TimePoint deadline)
{
    const auto left = [&] { return std::max<Duration>(deadline - Clock::now(), Millis(1)); };
    const Status sent = connection.send(request, left());
    if (!sent)
        return fail(connection.bytesSent() == 0, sent.error());
    auto response = connection.readHeader(left());
    if (!response)
        return fail(false, response.error());
    auto body = connection.readWhole(left());
    if (!body)
        return fail(false, body.error());
    response->m_body = std::move(*body);
    return std::move(*response);
}

} // namespace

void ServiceCallBreaker::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->cancel();
}

tl::expected<HttpResponse, ServiceFailure>
callService(HttpPool &pool, const Address &address, ServiceCall call, ServiceCallBreaker &breaker)
{
    const TimePoint deadline = Clock::now() + call.m_timeout;
    call.m_request.m_headers.push_back({ std::string(AttemptHeader), call.m_attempt.str() });
    auto connection = pool.acquire(address, call.m_timeout, !call.m_repeatable);
    if (!connection)
        return fail(true, connection.error());
    if (breaker.cancelled())
        return fail(true, { ErrorCode::Cancelled, "cancelled" });
    breaker.setConnection(connection->get());
    auto response = exchange(**connection, call.m_request, deadline);
    breaker.setConnection(nullptr);
    if (!response)
        return response;
    pool.release(address, std::move(*connection));
    if (findHeader(response->m_headers, NotRunHeader) == "yes")
        return fail(true, { ErrorCode::Unavailable, "service says that it did not run the call" });
    if (findHeader(response->m_headers, AttemptHeader) != call.m_attempt.str())
        return fail(false, { ErrorCode::ProtocolError, "answer of another attempt" });
    return std::move(*response);
}

} // namespace stackquay
