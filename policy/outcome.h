/// Outcomes of requests, when a request may be reported as "not run", and errors as callers get
/// them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include "core/core.h"

namespace stackquay {

/// The outcome reported to the caller.
enum class Outcome {
    Complete, ///< The whole answer was delivered.
    FailedMayHaveRun, ///< Some endpoint may have executed all or part of it.
    RefusedNotRun, ///< No endpoint executed any of it, and none will.
};

/// The strongest evidence from an endpoint about one attempt.
enum class EndpointReply {
    Nothing, ///< No answer, or an inconclusive one (an unexplained 500, a closed connection).
    NotRun, ///< The endpoint stated that it did not run the attempt and will not.
    Partial, ///< Output was received, but not its end.
    Whole, ///< The final frame or the whole answer was received.
};

/// Facts about one attempt to run a request on an endpoint.
struct AttemptFacts {
    size_t m_bytesSent = 0; ///< Bytes written to the socket, whether or not they arrived.
    EndpointReply m_reply = EndpointReply::Nothing;
    /// The reply certainly belongs to this attempt: it echoed the attempt's id, or the connection
    /// carried no earlier attempt. Otherwise the reply is ignored.
    bool m_replyMatchesAttempt = false;
    /// Endpoints that may have run it: several if another VM made attempts of its own for it.
    uint32_t m_possibleRuns = 1;
};

Outcome attemptOutcome(const AttemptFacts &attempt);

/// The outcome of a request: Complete if one of its attempts is, RefusedNotRun only if none of them
/// was run. Without any attempt, nothing was sent: RefusedNotRun.
Outcome requestOutcome(std::span<const AttemptFacts> attempts);

/// Whether a client takes an HTTP status for the promise that its request has not run and never
/// will.
bool promisesNotRun(unsigned status);

/// How often one of @p attempts may have run in all, at different endpoints. Zero exactly if
/// requestOutcome() is RefusedNotRun.
uint32_t countPossibleRuns(std::span<const AttemptFacts> attempts);

/// Value of the header Stackquay-Outcome: "not-run" or "may-have-run"; "complete" only in logs.
std::string_view outcomeName(Outcome outcome);

/// Why a request failed or was refused.
enum class RequestError {
    InvalidRequest,
    Unauthenticated,
    PermissionDenied,
    ModelNotFound,
    ServiceNotFound,
    PromptTooLong, ///< Exceeds the memory of every permitted set of engines.
    BodyTooLarge,
    DuplicateInProgress, ///< A call with the same idempotency key is in progress.
    OutcomeUnknown, ///< The outcome of an earlier call with the same idempotency key is unknown.
    RateLimited, ///< The customer's limit of tokens per second.
    ConcurrencyLimited, ///< The customer's limit of requests in progress.
    QueueFull,
    DisplacedFromQueue, ///< Removed in favour of a higher priority or another fair share.
    DeadlineUnmeetable, ///< Not started, as it could not finish before its deadline.
    NoCapacity, ///< No endpoint can accept it now.
    ShuttingDown,
    StoreUnavailable, ///< Its idempotency key has to be claimed in the store, which is unreachable.
    EndpointFailed,
    AnswerCut, ///< The answer was interrupted and could not be resumed.
    DeadlineExceeded,
    CallerCancelled,
    Internal,
    Count, ///< Number of errors; not an error.
};

/// HTTP representation of an error.
struct RequestErrorInfo {
    unsigned m_status = 500;
    std::string_view m_type; ///< "error.type" of the JSON body.
    std::string_view m_code; ///< "error.code" of the JSON body.
    bool m_sendRetryAfter = false; ///< A retry may succeed.
};

const RequestErrorInfo &requestErrorInfo(RequestError error);

/// The request error that corresponds to an error code of an internal call.
RequestError requestErrorFrom(ErrorCode code);

/// A failure as reported to the caller.
struct Refusal {
    RequestError m_error = RequestError::Internal;
    Outcome m_outcome = Outcome::RefusedNotRun;
    std::string m_message; ///< The limit or reason, in readable form.
    Duration m_retryAfter{}; ///< Suggested delay before a retry; zero: none.
};

/// Value of the Retry-After header in whole seconds, rounded up; zero: omit the header.
Seconds retryAfterHeader(const Refusal &refusal);

/// The JSON body of the answer:
/// {"error":{"message","type","code","outcome"[,"retry_after_ms"]}}.
std::string errorBody(const Refusal &refusal);

} // namespace stackquay
