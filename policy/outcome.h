/// What became of a request, when "not run" may be said, and how failures look to callers.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

#include "core/core.h"

namespace stackquay {

/// What the caller is told at the end; exactly one of these.
enum class Outcome {
    Complete, ///< The whole answer was passed on.
    FailedMayHaveRun, ///< Some endpoint may have executed all or part of it.
    RefusedNotRun, ///< No endpoint executed any of it, and none will.
};

/// The most telling thing that an endpoint said about one attempt.
enum class EndpointReply {
    Nothing, ///< No answer, or one that proves nothing (an unexplained 500, a cut connection).
    NotRun, ///< The endpoint says that it did not run the attempt and will not.
    Partial, ///< Output of the attempt came, but not its end.
    Whole, ///< The final frame or the whole answer came.
};

/// What is known of one attempt to run a request at an endpoint.
struct AttemptFacts {
    size_t m_bytesSent = 0; ///< Bytes handed to the operating system, received or not.
    EndpointReply m_reply = EndpointReply::Nothing;
    /// The reply belongs to this attempt for certain: its id was echoed, or the connection carried
    /// no earlier attempt. A reply that may be another's proves nothing.
    bool m_replyIsOurs = false;
};

/// The outcome of a single attempt.
Outcome attemptOutcome(const AttemptFacts &attempt);

/// The outcome of a request from all its attempts: complete if one is; "not run" only if each of
/// them did not run. Without attempts nothing was sent, so it did not run.
Outcome requestOutcome(std::span<const AttemptFacts> attempts);

/// Value of the header Stackquay-Outcome: "not-run" or "may-have-run"; "complete" only in logs.
std::string_view outcomeName(Outcome outcome);

/// Why a request failed or was refused.
enum class RequestError {
    InvalidRequest,
    Unauthenticated,
    PermissionDenied,
    ModelNotFound,
    ServiceNotFound,
    PromptTooLong, ///< Longer than any permitted span of engines holds.
    BodyTooLarge,
    DuplicateInProgress, ///< Its idempotency key is claimed by a call that has not ended.
    OutcomeUnknown, ///< Its idempotency key belongs to a call whose outcome nobody knows.
    RateLimited, ///< The customer's tokens a second.
    ConcurrencyLimited, ///< The customer's requests in progress.
    QueueFull,
    DisplacedFromQueue, ///< Gave way to a higher priority or to another customer's fair share.
    DeadlineUnmeetable, ///< Could not finish in time, so it was not begun.
    NoCapacity, ///< No endpoint can take it now.
    ShuttingDown,
    StoreUnavailable, ///< Needs a claim in the store, which cannot be reached.
    EndpointFailed,
    AnswerCut, ///< The answer broke off and could not be resumed.
    DeadlineExceeded,
    CallerCancelled,
    Internal,
    Count, ///< Number of errors; not an error.
};

/// How one error looks over HTTP.
struct RequestErrorInfo {
    unsigned m_status = 500;
    std::string_view m_type; ///< "error.type" of the JSON body.
    std::string_view m_code; ///< "error.code" of the JSON body.
    bool m_sendRetryAfter = false; ///< Asking again later makes sense.
};

const RequestErrorInfo &requestErrorInfo(RequestError error);

/// The nearest error for an Error of one of our own calls.
RequestError requestErrorFrom(ErrorCode code);

/// A failure as it goes to the caller.
struct Refusal {
    RequestError m_error = RequestError::Internal;
    Outcome m_outcome = Outcome::RefusedNotRun;
    std::string m_message; ///< Names the limit or reason, for people.
    Duration m_retryAfter{}; ///< When to ask again; zero: no advice.
};

/// Value of the Retry-After header in whole seconds, rounded up; zero: send no such header.
Seconds retryAfterHeader(const Refusal &refusal);

/// The JSON body of the answer:
/// {"error":{"message","type","code","outcome"[,"retry_after_ms"]}}.
std::string errorBody(const Refusal &refusal);

} // namespace stackquay
