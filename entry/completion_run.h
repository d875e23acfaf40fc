/// Runs one completion request from admission to its outcome, driven by the state chart
/// charts/request.scxml: each state has a step that does its I/O and returns an event, and the
/// chart selects the next state.
#pragma once

#include <optional>

#include "endpoint/endpoint.h"
#include "entry/completion_answer.h"
#include "entry/placement.h"
#include "entry/request_chart.h"

namespace stackquay {

/// A validated request, ready to run.
struct AdmittedCompletion {
    RequestContext m_context;
    CompletionRequest m_request;
    uint64_t m_promptTokens = 0;
    LengthClass m_length = LengthClass::Short;
    TimePoint m_deadline;
};

class CompletionRun : public ActiveRequest
{
public:
    CompletionRun(TrafficWorker &worker, HttpExchange &exchange, AdmittedCompletion admitted);

    /// Runs the request to its end. The response has been sent when this returns.
    Outcome execute();
    void shutDown() override;
    /// Output tokens forwarded to the client.
    uint64_t tokens() const { return m_position; }

    // Guards and actions of the chart.
    bool needsChunks() const;
    bool nothingRan() const;
    void cancelAttempt();
    void releaseGrant();
    void answerFailure();

private:
    RequestEvent step(RequestState state);
    RequestEvent place();
    RequestEvent prefill();
    RequestEvent send();
    RequestEvent stream();
    RequestEvent resume();
    RequestEvent backOff();

    EngineAttempt makeAttempt() const;
    void newAttempt();
    RequestEvent handleStartFailure(const StartFailure &failure);
    RequestEvent handleStreamFailure(const Error &error);
    /// Fails the request with m_deadlineError.
    RequestEvent handleDeadline();
    /// Forwards tokens to the client. Returns false if the client has disconnected.
    bool forwardTokens(const TokenFrame &frame);
    RequestEvent finish(const FinalFrame &frame);
    void noteFirstToken();
    /// Whether to leave an engine whose stream could not be resumed. One that is only silent may go
    /// on, so it is left only for a retry that is granted, to another engine.
    bool mayLeaveEngine();
    RetryQuery retryQuery();
    /// Returns whether @p error means that the process shuts down, and records that.
    bool checkShutdown(const Error &error);
    void markRunning(const AttemptId &attempt);
    void fail(RequestError error, std::string message);
    void onHangup();
    /// Interrupts the placement and the streams in progress.
    void cancelWaits();
    bool deadlinePassed() const { return Clock::now() >= m_admitted.m_deadline; }
    /// Time until the deadline, at least 1 ms and at most @p limit.
    Duration timeout(Duration limit) const;
    /// Time until the deadline, at least 1 ms.
    Duration timeout() const;

    TrafficWorker &m_worker;
    HttpExchange &m_exchange;
    AdmittedCompletion m_admitted;
    const ModelRoute *m_route;
    CompletionAnswer m_answer;
    RequestNeed m_need;
    std::vector<AttemptFacts> m_attempts;
    std::vector<EndpointId> m_excluded;
    std::optional<Placement> m_placement;
    PlacementWait m_wait;
    AttemptReport m_report; ///< Of the current attempt.
    TimePoint m_firstTokenAt;
    AttemptId m_attempt;
    AttemptId m_runningAttempt; ///< Last id sent to the engine: m_attempt, or a prefill chunk's.
    std::unique_ptr<EngineStream> m_stream;
    std::unique_ptr<EngineStream> m_prefillStream; ///< Prefill chunk in progress, or null.
    Refusal m_refusal; ///< Reason of the failure, if the request fails.
    uint64_t m_position = 0; ///< Output tokens sent to the client or waiting for the next flush.
    uint64_t m_prefilled = 0; ///< Prompt tokens in the engine's cache.
    uint32_t m_resumeAttempts = 0; ///< Of the current attempt since its last frame.
    bool m_engineSilent = false; ///< The last failure of the stream was a timeout.
    std::optional<Duration> m_grantedBackoff; ///< Before a retry that was granted in advance.
    RequestError m_deadlineError = RequestError::DeadlineExceeded; ///< See handleDeadline().
    bool m_firstToken = false;
    bool m_clientDisconnected = false;
    bool m_mayBeRunning = false; ///< The current attempt may be running on its engine.
};

} // namespace stackquay
