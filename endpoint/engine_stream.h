/// Client of one attempt on a model engine: sends the prompt and reads the frames in order.
///
/// A gap, a malformed frame or a frame of another attempt closes the connection. The user of the
/// class then resumes from position() on the same engine, or starts another attempt. Duplicate
/// frames are dropped.
#pragma once

#include <memory>

#include "endpoint/engine_frame.h"
#include "endpoint/sse_reader.h"
#include "net/net.h"

namespace stackquay {

/// Parameters of an attempt.
struct EngineAttempt {
    AttemptId m_attempt;
    ModelId m_model;
    std::string m_version;
    std::string m_adapter;
    std::string_view m_prompt; ///< Must outlive the attempt.
    uint64_t m_maxTokens = 0;
    int m_priority = 0;
    std::string m_owner; ///< "vm:incarnation" for which the engine reserves memory.
    uint64_t m_skip = 0; ///< Output tokens that the client already has.
    bool m_prefillOnly = false;
    uint64_t m_prefillLimit = 0; ///< Max prompt tokens to compute; 0: all.
};

/// Why an attempt did not start to stream.
struct StartFailure {
    bool m_notRun = false; ///< True only if the engine reported it or no byte was sent.
    std::string m_reason; ///< The engine's reason, such as "no_memory"; else empty.
    Error m_error;
};

class EngineStream
{
public:
    EngineStream(HttpPool &pool, Address address);
    ~EngineStream();

    /// Sends the attempt and reads the response's header.
    tl::expected<void, StartFailure> start(const EngineAttempt &attempt, Duration timeout);
    /// Reconnects to the attempt at position(). NotFound: the engine no longer has the attempt.
    Status resume(Duration timeout);
    /// Waits for the next frame. After Unavailable or ProtocolError the connection is closed, and
    /// resume() can be tried.
    Result<EngineFrame> next(Duration timeout);
    /// Whether next() would return without waiting.
    bool ready() const { return m_reader.ready(); }
    /// Closes the connection from another fiber; next() then returns Cancelled.
    void cancel();
    /// Returns the connection to the pool if the stream has ended without an error.
    void release();

    const Address &address() const { return m_address; }
    const AttemptId &attempt() const { return m_attempt; }
    /// Position of the next token expected.
    uint64_t position() const { return m_position; }
    /// Whether the last frame has been read.
    bool ended() const { return m_ended; }

private:
    Result<EngineFrame> accept(EngineFrame frame, bool &duplicate);
    StartFailure refusal(const HttpResponse &header, Duration timeout);
    Error close(Error error);

    HttpPool &m_pool;
    Address m_address;
    AttemptId m_attempt;
    std::unique_ptr<HttpConnection> m_connection;
    SseReader m_reader;
    std::string m_readBuffer;
    uint64_t m_position = 0;
    bool m_ended = false;
    bool m_cancelled = false;
};

/// Tells the engine to stop an attempt and free its memory. Returns whether it was running.
Result<bool> cancelAttempt(HttpPool &pool, const Address &address, const AttemptId &attempt,
                           Duration timeout);

} // namespace stackquay
