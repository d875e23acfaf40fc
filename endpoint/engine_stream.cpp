#include "endpoint/engine_stream.h"

#include <fmt/format.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnavailable = 503;
constexpr size_t MaxEventBytes = 1024 * 1024;
/// Of the body of a refusal or of the answer to an order, which are short messages.
constexpr size_t MaxMessageBytes = 64 * 1024;

std::string attemptBody(const EngineAttempt &attempt)
{
    const Json body{
        { "model", attempt.m_model.str() },
        { "version", attempt.m_version },
        { "adapter", attempt.m_adapter },
        { "prompt", attempt.m_prompt },
        { "max_tokens", attempt.m_maxTokens },
        { "priority", attempt.m_priority },
        { "attempt", attempt.m_attempt.str() },
        { "owner", attempt.m_owner },
        { "skip", attempt.m_skip },
        { "prefill_only", attempt.m_prefillOnly },
        { "prefill_limit", attempt.m_prefillLimit },
    };
    return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpHeaders jsonHeaders()
{
    return { { "Content-Type", "application/json" } };
}

std::string refusalReason(std::string_view body)
{
    const auto object = parseJsonObject(body);
    if (!object || !object->contains("error"))
        return {};
    return stringField(object->at("error"), "reason").value_or("");
}

StartFailure failure(bool notRun, std::string reason, ErrorCode code, std::string message)
{
    return StartFailure{ notRun, std::move(reason), Error{ code, std::move(message) } };
}

} // namespace

EngineStream::EngineStream(HttpPool &pool, Address address)
    : m_pool(pool)
    , m_address(std::move(address))
{ }

EngineStream::~EngineStream() = default;

tl::expected<void, StartFailure> EngineStream::start(const EngineAttempt &attempt, Duration timeout)
{
    m_attempt = attempt.m_attempt;
    m_position = attempt.m_skip;
    const TimePoint deadline = Clock::now() + timeout;
    const auto remaining = [&] { return std::max<Duration>(deadline - Clock::now(), Millis(1)); };
    HttpRequest request{ "POST", "/v1/completions", jsonHeaders(), attemptBody(attempt) };
    auto connection = m_pool.acquire(m_address, remaining());
    if (!connection)
        return tl::unexpected(StartFailure{ true, "", connection.error() });
    m_connection = std::move(*connection);
    if (m_cancelled)
        return tl::unexpected(failure(true, "", ErrorCode::Cancelled, "cancelled"));
    const Status sent = m_connection->send(request, remaining());
    if (!sent)
        return tl::unexpected(StartFailure{ m_connection->bytesSent() == 0, "", sent.error() });
    // The answer may take long to begin.
    std::string().swap(request.m_body);
    const auto header = m_connection->readHeader(remaining());
    if (!header)
        return tl::unexpected(StartFailure{ false, "", header.error() });
    if (header->m_status == StatusOk)
        return {};
    return tl::unexpected(refusal(*header, remaining()));
}

StartFailure EngineStream::refusal(const HttpResponse &header, Duration timeout)
{
    const auto body = m_connection->readWhole(timeout, MaxMessageBytes);
    const std::string reason = body ? refusalReason(*body) : std::string();
    if (body)
        m_pool.release(m_address, std::move(m_connection));
    const std::string message = fmt::format("engine answered {} {}", header.m_status, reason);
    if (header.m_status == StatusUnavailable && !reason.empty())
        return failure(true, reason, ErrorCode::ResourceExhausted, message);
    if (header.m_status == StatusTooLarge)
        return failure(true, reason, ErrorCode::InvalidArgument, message);
    return failure(false, reason, ErrorCode::ProtocolError, message);
}

Status EngineStream::resume(Duration timeout)
{
    m_reader = SseReader();
    auto connection = m_pool.acquire(m_address, timeout, true);
    if (!connection)
        return tl::unexpected(connection.error());
    m_connection = std::move(*connection);
    if (m_cancelled)
        return makeError(ErrorCode::Cancelled, "cancelled");
    HttpRequest request;
    request.m_target = fmt::format("/v1/attempts/{}?from={}", m_attempt.str(), m_position);
    const Status sent = m_connection->send(request, timeout);
    if (!sent)
        return sent;
    const auto header = m_connection->readHeader(timeout);
    if (!header)
        return tl::unexpected(header.error());
    if (header->m_status == StatusOk)
        return {};
    m_connection->cancel();
    const ErrorCode code =
        header->m_status == StatusNotFound ? ErrorCode::NotFound : ErrorCode::Unavailable;
    return makeError(code, fmt::format("resume answered {}", header->m_status));
}

Result<EngineFrame> EngineStream::next(Duration timeout)
{
    for (;;) {
        while (const auto event = m_reader.next()) {
            auto frame = parseEngineFrame(*event, m_attempt);
            if (!frame)
                return tl::unexpected(close(frame.error()));
            bool duplicate = false;
            auto accepted = accept(std::move(*frame), duplicate);
            if (!duplicate)
                return accepted;
        }
        if (m_reader.pending() > MaxEventBytes)
            return tl::unexpected(
                close({ ErrorCode::ProtocolError, "event exceeds the size limit" }));
        const Status read = m_connection->readBody(m_readBuffer, timeout);
        if (!read)
            return tl::unexpected(read.error());
        if (m_readBuffer.empty())
            return tl::unexpected(
                close({ ErrorCode::Unavailable, "stream ended without a final frame" }));
        m_reader.feed(m_readBuffer);
    }
}

Result<EngineFrame> EngineStream::accept(EngineFrame frame, bool &duplicate)
{
    if (const auto *final = std::get_if<FinalFrame>(&frame)) {
        if (final->m_tokens != m_position)
            return tl::unexpected(
                close({ ErrorCode::ProtocolError,
                        fmt::format("final frame counts {} tokens, {} were received",
                                    final->m_tokens, m_position) }));
        m_ended = true;
        return frame;
    }
    const auto *tokens = std::get_if<TokenFrame>(&frame);
    if (!tokens) {
        m_ended = true;
        return frame;
    }
    if (tokens->m_index > m_position)
        return tl::unexpected(
            close({ ErrorCode::ProtocolError,
                    fmt::format("gap in the stream: received token {}, expected {}",
                                tokens->m_index, m_position) }));
    const uint64_t end = tokens->m_index + tokens->m_count;
    duplicate = end <= m_position;
    if (duplicate)
        return frame;
    // The text of a frame cannot be split by tokens: the stream has to be resumed from m_position.
    if (tokens->m_index < m_position)
        return tl::unexpected(close({ ErrorCode::ProtocolError, "frames overlap" }));
    m_position = end;
    return frame;
}

Error EngineStream::close(Error error)
{
    if (m_connection)
        m_connection->cancel();
    return error;
}

void EngineStream::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->cancel();
}

void EngineStream::release()
{
    if (!m_connection || !m_ended)
        return;
    // Reads the end of the chunked body, after which the connection can be reused.
    const Status end = m_connection->readBody(m_readBuffer, Seconds(1));
    if (end && m_readBuffer.empty())
        m_pool.release(m_address, std::move(m_connection));
}

Result<bool> cancelAttempt(HttpPool &pool, const Address &address, const AttemptId &attempt,
                           Duration timeout)
{
    const Json body{ { "attempt", attempt.str() } };
    const HttpRequest request{ "POST", "/v1/cancel", jsonHeaders(), body.dump() };
    const auto response = pool.call(address, request, { timeout, MaxMessageBytes });
    if (!response)
        return tl::unexpected(response.error());
    const auto answer = parseJsonObject(response->m_body);
    return answer && boolField(*answer, "cancelled");
}

} // namespace stackquay
