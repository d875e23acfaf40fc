/// Writes an answer in the shape of the completion API, streamed or whole.
#pragma once

#include "endpoint/endpoint.h"
#include "entry/completion_request.h"
#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// One answer. A stream ends with usage and `[DONE]` only if it is whole; otherwise with an error
/// event and an aborted chunked body.
class CompletionAnswer
{
public:
    CompletionAnswer(HttpExchange &exchange, const CompletionRequest &request, RequestId id,
                     uint64_t promptTokens);

    /// Takes tokens; a stream sends them with the next flush().
    void append(const TokenFrame &frame);
    /// Sends what append() took. An error means that the caller is gone.
    Status flush();
    /// Ends the answer.
    Status finish(const FinalFrame &frame);
    /// Tells the caller why there is no (whole) answer.
    void fail(const Refusal &refusal);
    /// Whether the caller has got part of the answer.
    bool begun() const { return m_streaming; }

private:
    void appendChunk(std::string_view textJson, std::string_view finish, const TokenFrame *frame,
                     const FinalFrame *final);
    Status begin(std::string_view first);
    std::string wholeBody(const FinalFrame &frame) const;

    HttpExchange &m_exchange;
    ApiShape m_shape;
    bool m_stream;
    std::string m_model;
    RequestId m_id;
    uint64_t m_promptTokens;
    int64_t m_created;
    std::string m_buffer; ///< Events to send, or the whole text so far.
    bool m_streaming = false;
};

/// Answers with @p refusal as an HTTP error.
void respondRefusal(HttpExchange &exchange, const RequestId &id, const Refusal &refusal);

} // namespace stackquay
