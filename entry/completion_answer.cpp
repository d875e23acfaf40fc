#include "entry/completion_answer.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

using Json = nlohmann::json;

/// Of a response's text: as collected, and in the body that is sent.
constexpr size_t TextCopies = 2;

std::string toJsonString(std::string_view text)
{
    return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

int64_t unixSeconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Seconds>(now).count();
}

std::string usageJson(uint64_t promptTokens, const FinalFrame &frame)
{
    return fmt::format(R"({{"prompt_tokens":{},"completion_tokens":{},"total_tokens":{},)"
                       R"("cached_tokens":{}}})",
                       promptTokens, frame.m_tokens, promptTokens + frame.m_tokens, frame.m_cached);
}

std::string_view objectName(ApiShape shape, bool stream)
{
    if (shape == ApiShape::Text)
        return "text_completion";
    return stream ? "chat.completion.chunk" : "chat.completion";
}

} // namespace

CompletionAnswer::CompletionAnswer(HttpExchange &exchange, const CompletionRequest &request,
                                   RequestId id, uint64_t promptTokens)
    : m_exchange(exchange)
    , m_shape(request.m_shape)
    , m_stream(request.m_stream)
    , m_model(request.m_model.str())
    , m_id(std::move(id))
    , m_promptTokens(promptTokens)
    , m_created(unixSeconds())
    , m_memory(exchange)
{ }

void CompletionAnswer::append(const TokenFrame &frame)
{
    if (!m_stream) {
        m_buffer += frame.m_text;
        return;
    }
    appendChunk(toJsonString(frame.m_text), "null", &frame, nullptr);
}

Status CompletionAnswer::flush()
{
    if (!m_stream)
        return holdText();
    if (m_buffer.empty())
        return {};
    const Status written = m_started ? m_exchange.write(m_buffer) : startStream(m_buffer);
    m_buffer.clear();
    return written;
}

Status CompletionAnswer::holdText()
{
    if (!m_memory.resize(TextCopies * m_buffer.capacity(), {}))
        return makeError(ErrorCode::ResourceExhausted, "not enough memory for the response");
    return {};
}

Status CompletionAnswer::finish(const FinalFrame &frame)
{
    const std::string finish = toJsonString(frame.m_finish);
    if (!m_stream) {
        const HttpHeaders headers{ { "Content-Type", "application/json" },
                                   { "Stackquay-Request-Id", m_id.str() } };
        return m_exchange.respond({ 200, headers, completeBody(frame) });
    }
    appendChunk(R"("")", finish, nullptr, &frame);
    m_buffer += "data: [DONE]\n\n";
    if (m_started)
        return m_exchange.finish(m_buffer);
    return startStream(m_buffer).and_then([&] { return m_exchange.finish(); });
}

void CompletionAnswer::fail(const Refusal &refusal)
{
    if (!m_started) {
        respondRefusal(m_exchange, m_id, refusal);
        return;
    }
    // A failed write needs no handling: the client has disconnected, and the body is aborted
    // anyway.
    const Status ignored = m_exchange.write("data: " + errorBody(refusal) + "\n\n");
    if (!ignored)
        log(LogPart::Entry)
            .debug("Client disconnected before the error was sent. request={}", m_id.str());
    m_exchange.abort();
}

Status CompletionAnswer::startStream(std::string_view first)
{
    m_started = true;
    return m_exchange.startStream(200,
                                  { { "Content-Type", "text/event-stream" },
                                    { "Cache-Control", "no-store" },
                                    { "Stackquay-Request-Id", m_id.str() } },
                                  first);
}

void CompletionAnswer::appendChunk(std::string_view textJson, std::string_view finish,
                                   const TokenFrame *frame, const FinalFrame *final)
{
    const auto out = std::back_inserter(m_buffer);
    fmt::format_to(out, R"(data: {{"id":"{}","object":"{}","created":{},"model":"{}",)", m_id.str(),
                   objectName(m_shape, true), m_created, m_model);
    if (m_shape == ApiShape::Chat)
        fmt::format_to(out, R"("choices":[{{"index":0,"delta":{{"content":{}}},)", textJson);
    else
        fmt::format_to(out, R"("choices":[{{"index":0,"text":{},)", textJson);
    fmt::format_to(out, R"("finish_reason":{}}}])", finish);
    if (frame)
        fmt::format_to(out, R"(,"stackquay":{{"index":{},"n":{}}})", frame->m_index,
                       frame->m_count);
    if (final)
        fmt::format_to(out, R"(,"usage":{})", usageJson(m_promptTokens, *final));
    m_buffer += "}\n\n";
}

std::string CompletionAnswer::completeBody(const FinalFrame &frame) const
{
    const std::string text = toJsonString(m_buffer);
    const std::string content =
        m_shape == ApiShape::Chat
            ? fmt::format(R"("message":{{"role":"assistant","content":{}}})", text)
            : fmt::format(R"("text":{})", text);
    return fmt::format(R"({{"id":"{}","object":"{}","created":{},"model":"{}",)"
                       R"("choices":[{{"index":0,{},"finish_reason":{}}}],"usage":{}}})",
                       m_id.str(), objectName(m_shape, false), m_created, m_model, content,
                       toJsonString(frame.m_finish), usageJson(m_promptTokens, frame));
}

void respondRefusal(HttpExchange &exchange, const RequestId &id, const Refusal &refusal)
{
    HttpResponse response;
    response.m_status = requestErrorInfo(refusal.m_error).m_status;
    response.m_headers = { { "Content-Type", "application/json" },
                           { "Stackquay-Request-Id", id.str() },
                           { "Stackquay-Outcome", std::string(outcomeName(refusal.m_outcome)) } };
    const Seconds retryAfter = retryAfterHeader(refusal);
    if (retryAfter > Seconds(0))
        response.m_headers.push_back({ "Retry-After", std::to_string(retryAfter.count()) });
    response.m_body = errorBody(refusal);
    const Status sent = exchange.respond(response);
    if (!sent)
        log(LogPart::Entry)
            .debug("Client disconnected before the refusal was sent. request={}", id.str());
}

} // namespace stackquay
