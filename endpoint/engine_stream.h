/// One attempt at a model engine: sends the prompt and reads its frames in order.
///
/// Frames of another attempt, gaps and malformed frames close the connection: the caller then
/// resumes from position() on the same engine, or starts another attempt. Repeated tokens are
/// dropped.
#pragma once

#include <memory>

#include "endpoint/engine_frame.h"
#include "endpoint/sse_reader.h"
#include "net/net.h"

namespace stackquay {

/// What is asked of an engine.
struct EngineAttempt {
    AttemptId m_attempt;
    ModelId m_model;
    std::string m_version;
    std::string m_adapter;
    std::string_view m_prompt; ///< Must outlive the attempt.
    uint64_t m_maxTokens = 0;
    int m_priority = 0;
    std::string m_owner; ///< "vm:incarnation", which holds the engine's memory.
    uint64_t m_skip = 0; ///< Tokens of the answer that the caller already has.
    bool m_prefillOnly = false;
    uint64_t m_prefillLimit = 0; ///< Most tokens to compute; 0: the whole prompt.
};

/// Why an attempt did not start to answer.
struct StartFailure {
    bool m_notRun = false; ///< True only if the engine said so or no byte left.
    std::string m_reason; ///< The engine's reason, such as "no_memory"; else empty.
    Error m_error;
};

class EngineStream
{
public:
    EngineStream(HttpPool &pool, Address address);
    ~EngineStream();

    /// Sends the attempt and reads the answer's header.
    tl::expected<void, StartFailure> start(const EngineAttempt &attempt, Duration timeout);
    /// Connects again to the attempt at position(). NotFound: the engine no longer has it.
    Status resume(Duration timeout);
    /// The next frame. Unavailable or ProtocolError: the connection is gone, resume() may help.
    Result<EngineFrame> next(Duration timeout);
    /// Whether next() would return without waiting.
    bool ready() const { return m_reader.ready(); }
    /// Closes the connection from another fiber; next() then returns Cancelled.
    void cancel();
    /// Gives the connection back if the stream ended well.
    void release();

    const Address &address() const { return m_address; }
    const AttemptId &attempt() const { return m_attempt; }
    /// Position of the next token expected.
    uint64_t position() const { return m_position; }
    bool ended() const { return m_ended; }

private:
    Result<EngineFrame> accept(EngineFrame frame, bool &repeated);
    StartFailure refusal(const HttpResponse &header, Duration timeout);
    Error close(Error error);

    HttpPool &m_pool;
    Address m_address;
    AttemptId m_attempt;
    std::unique_ptr<HttpConnection> m_connection;
    SseReader m_reader;
    std::string m_piece;
    uint64_t m_position = 0;
    bool m_ended = false;
    bool m_cancelled = false;
};

/// Tells the engine to stop an attempt and free its memory. True if it had been running.
Result<bool> cancelAttempt(HttpPool &pool, const Address &address, const AttemptId &attempt,
                           Duration timeout);

} // namespace stackquay
