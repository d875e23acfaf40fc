#include "endpoint/service_call.h"

namespace stackquay {

namespace {

constexpr std::string_view AttemptHeader = "Stackquay-Attempt-Id";
constexpr std::string_view NotRunHeader = "Stackquay-Not-Run";

tl::unexpected<ServiceFailure> fail(bool notRun, Error error)
{
    return tl::unexpected(ServiceFailure{ notRun, std::move(error) });
}

} // namespace

tl::expected<HttpResponse, ServiceFailure> callService(HttpPool &pool, const Address &address,
                                                       ServiceCall call)
{
    const TimePoint deadline = Clock::now() + call.m_timeout;
    const auto left = [&] { return std::max<Duration>(deadline - Clock::now(), Millis(1)); };
    call.m_request.m_headers.push_back({ std::string(AttemptHeader), call.m_attempt.str() });
    auto connection = pool.acquire(address, left(), !call.m_repeatable);
    if (!connection)
        return fail(true, connection.error());
    const Status sent = (*connection)->send(call.m_request, left());
    if (!sent)
        return fail((*connection)->bytesSent() == 0, sent.error());
    auto response = (*connection)->readHeader(left());
    if (!response)
        return fail(false, response.error());
    auto body = (*connection)->readWhole(left());
    if (!body)
        return fail(false, body.error());
    response->m_body = std::move(*body);
    pool.release(address, std::move(*connection));
    if (findHeader(response->m_headers, NotRunHeader) == "yes")
        return fail(true, { ErrorCode::Unavailable, "service says that it did not run the call" });
    if (findHeader(response->m_headers, AttemptHeader) != call.m_attempt.str())
        return fail(false, { ErrorCode::ProtocolError, "answer of another attempt" });
    return std::move(*response);
}

} // namespace stackquay
