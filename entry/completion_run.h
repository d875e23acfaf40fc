/// One completion request from admission to outcome, driven by charts/request.scxml: each state has
/// a step that does its I/O and returns an event, and the chart says which state follows.
#pragma once

#include <optional>

#include "endpoint/endpoint.h"
#include "entry/completion_answer.h"
#include "entry/placement.h"
#include "entry/request_chart.h"

namespace stackquay {

/// An admitted request.
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

    /// Runs to the end; the caller has its answer when it returns.
    Outcome execute();
    void shutDown() override;
    /// Tokens passed on to the caller.
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
    RequestEvent startFailed(const StartFailure &failure);
    RequestEvent streamFailed(const Error &error);
    RequestEvent expired();
    /// False if the caller is gone.
    bool passOn(const TokenFrame &frame);
    RequestEvent finish(const FinalFrame &frame);
    void noteFirstToken();
    bool endedWith(const Error &error);
    void noteRunning(const AttemptId &attempt);
    void fail(RequestError error, std::string message);
    void onHangup();
    void breakOff();
    bool late() const { return Clock::now() >= m_admitted.m_deadline; }
    /// Time to the deadline, but no more than @p limit.
    Duration timeout(Duration limit) const;
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
    AttemptReport m_report; ///< Of the present attempt.
    TimePoint m_firstTokenAt;
    AttemptId m_attempt;
    AttemptId m_runningAttempt; ///< As the engine knows it: of the answer, or of a chunk.
    std::unique_ptr<EngineStream> m_stream;
    std::unique_ptr<EngineStream> m_chunk; ///< Of the prompt, in progress.
    Refusal m_refusal; ///< Why the request fails, if it does.
    uint64_t m_position = 0; ///< Tokens that the caller has, or will have with the next flush.
    uint64_t m_prefilled = 0; ///< Prompt tokens put into the engine's cache by chunks.
    uint32_t m_resumes = 0; ///< Of the present attempt since its last frame.
    RequestError m_expiry = RequestError::DeadlineExceeded; ///< Why the deadline ends it.
    bool m_firstToken = false;
    bool m_hungUp = false;
    bool m_running = false; ///< The present attempt may run at its engine.
};

} // namespace stackquay
