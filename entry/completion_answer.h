/// Writes the response of the completion API, as a stream of server-sent events or as one JSON
/// body.
#pragma once

#include "endpoint/endpoint.h"
#include "entry/completion_request.h"
#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// Response of one request. A complete stream ends with the token usage and `[DONE]`; an incomplete
/// one ends with an error event, and its chunked body is aborted.
class CompletionAnswer
{
public:
    CompletionAnswer(HttpExchange &exchange, const CompletionRequest &request, RequestId id,
                     uint64_t promptTokens);

    /// Adds tokens. A streamed response sends them with the next flush().
    void append(const TokenFrame &frame);
    /// Sends the tokens added since the last flush(). An error means that the client has
    /// disconnected. A response that is not streamed is held until finish(); an error means that
    /// there is no memory for it.
    Status flush();
    /// Completes the response. An error means that the client has disconnected.
    Status finish(const FinalFrame &frame);
    /// Reports @p refusal: as an HTTP error before the stream has started, else as an error event.
    void fail(const Refusal &refusal);
    /// Whether the headers of a streamed response have been sent.
    bool hasStarted() const { return m_started; }

private:
    void appendChunk(std::string_view textJson, std::string_view finish, const TokenFrame *frame,
                     const FinalFrame *final);
    Status holdText();
    Status startStream(std::string_view first);
    std::string completeBody(const FinalFrame &frame) const;

    HttpExchange &m_exchange;
    ApiShape m_shape;
    bool m_stream;
    std::string m_model;
    RequestId m_id;
    uint64_t m_promptTokens;
    int64_t m_created;
    AnswerMemory m_memory; ///< Of a response that is not streamed.
    std::string m_buffer; ///< Streamed: events not sent yet. Otherwise: the text so far.
    bool m_started = false;
};

/// Responds with @p refusal as an HTTP error.
void respondRefusal(HttpExchange &exchange, const RequestId &id, const Refusal &refusal);

} // namespace stackquay
