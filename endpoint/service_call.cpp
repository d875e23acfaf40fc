#include "endpoint/service_call.h"

namespace stackquay {

namespace {

constexpr std::string_view AttemptHeader = "Stackquay-Attempt-Id";
constexpr std::string_view NotRunHeader = "Stackquay-Not-Run";

tl::unexpected<ServiceFailure> fail(bool notRun, Error error)
{
    return tl::unexpected(ServiceFailure{ notRun, std::move(error) });
}

/// Sends the call and reads the whole response.
tl::expected<HttpResponse, ServiceFailure> exchange(HttpConnection &connection,
                                                    const ServiceCall &call, TimePoint deadline)
{
    const auto remaining = [&] { return std::max<Duration>(deadline - Clock::now(), Millis(1)); };
    const Status sent = connection.send(call.m_request, call.m_body, remaining());
    if (!sent)
        return fail(connection.bytesSent() == 0, sent.error());
    auto response = connection.readHeader(remaining());
    if (!response)
        return fail(false, response.error());
    auto body = connection.readWhole(remaining(), DefaultBodyLimit, call.m_reserve);
    if (!body)
        return fail(false, body.error());
    response->m_body = std::move(*body);
    return std::move(*response);
}

} // namespace

void ServiceCallCancellation::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->cancel();
}

tl::expected<HttpResponse, ServiceFailure> callService(HttpPool &pool, const Address &address,
                                                       ServiceCall call,
                                                       ServiceCallCancellation &cancellation)
{
    const TimePoint deadline = Clock::now() + call.m_timeout;
    call.m_request.m_headers.push_back({ std::string(AttemptHeader), call.m_attempt.str() });
    auto connection = pool.acquire(address, call.m_timeout, !call.m_repeatable);
    if (!connection)
        return fail(true, connection.error());
    if (cancellation.cancelled())
        return fail(true, { ErrorCode::Cancelled, "cancelled" });
    cancellation.setConnection(connection->get());
    auto response = exchange(**connection, call, deadline);
    cancellation.setConnection(nullptr);
    if (!response)
        return response;
    pool.release(address, std::move(*connection));
    if (findHeader(response->m_headers, NotRunHeader) == "yes")
        return fail(true,
                    { ErrorCode::Unavailable, "service reported that it did not run the call" });
    if (findHeader(response->m_headers, AttemptHeader) != call.m_attempt.str())
        return fail(false, { ErrorCode::ProtocolError, "response belongs to another attempt" });
    return std::move(*response);
}

} // namespace stackquay
