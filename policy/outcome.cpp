#include "policy/outcome.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

constexpr std::string_view InvalidType = "invalid_request_error";
constexpr std::string_view AuthenticationType = "authentication_error";
constexpr std::string_view PermissionType = "permission_error";
constexpr std::string_view RateType = "rate_limit_error";
constexpr std::string_view OverloadType = "overloaded_error";
constexpr std::string_view ServerType = "server_error";
constexpr std::string_view TimeoutType = "timeout_error";

constexpr size_t ErrorCount = static_cast<size_t>(RequestError::Count);

constexpr std::array<RequestErrorInfo, ErrorCount> ErrorInfos = { {
    { 400, InvalidType, "invalid_request", false },
    { 401, AuthenticationType, "invalid_api_key", false },
    { 403, PermissionType, "permission_denied", false },
    { 404, InvalidType, "model_not_found", false },
    { 404, InvalidType, "service_not_found", false },
    { 413, InvalidType, "context_length_exceeded", false },
    { 413, InvalidType, "body_too_large", false },
    { 409, InvalidType, "duplicate_in_progress", true },
    { 409, InvalidType, "outcome_unknown", false },
    { 429, RateType, "rate_limit_exceeded", true },
    { 429, RateType, "concurrency_limit_exceeded", true },
    { 503, OverloadType, "queue_full", true },
    { 503, OverloadType, "displaced_from_queue", true },
    { 503, OverloadType, "deadline_unmeetable", true },
    { 503, OverloadType, "no_capacity", true },
    { 503, ServerType, "shutting_down", true },
    { 503, ServerType, "store_unavailable", true },
    { 502, ServerType, "endpoint_failed", true },
    { 502, ServerType, "answer_cut", true },
    { 504, TimeoutType, "deadline_exceeded", true },
    { 499, InvalidType, "caller_cancelled", false },
    { 500, ServerType, "internal_error", false },
} };

} // namespace

Outcome attemptOutcome(const AttemptFacts &attempt)
{
    if (attempt.m_bytesSent == 0)
        return Outcome::RefusedNotRun;
    if (!attempt.m_replyMatchesAttempt)
        return Outcome::FailedMayHaveRun;
    if (attempt.m_reply == EndpointReply::NotRun)
        return Outcome::RefusedNotRun;
    if (attempt.m_reply == EndpointReply::Whole)
        return Outcome::Complete;
    return Outcome::FailedMayHaveRun;
}

Outcome requestOutcome(std::span<const AttemptFacts> attempts)
{
    bool mayHaveRun = false;
    for (const AttemptFacts &attempt : attempts) {
        const Outcome outcome = attemptOutcome(attempt);
        if (outcome == Outcome::Complete)
            return Outcome::Complete;
        mayHaveRun = mayHaveRun || outcome == Outcome::FailedMayHaveRun;
    }
    return mayHaveRun ? Outcome::FailedMayHaveRun : Outcome::RefusedNotRun;
}

bool promisesNotRun(unsigned status)
{
    constexpr std::array<unsigned, 4> Promises = { 408, 421, 429, 503 };
    return std::find(Promises.begin(), Promises.end(), status) != Promises.end();
}

uint32_t countPossibleRuns(std::span<const AttemptFacts> attempts)
{
    uint32_t runs = 0;
    for (const AttemptFacts &attempt : attempts)
        runs += attemptOutcome(attempt) == Outcome::RefusedNotRun ? 0 : attempt.m_possibleRuns;
    return runs;
}

std::string_view outcomeName(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Complete:
        return "complete";
    case Outcome::FailedMayHaveRun:
        return "may-have-run";
    case Outcome::RefusedNotRun:
        return "not-run";
    }
    return "may-have-run";
}

const RequestErrorInfo &requestErrorInfo(RequestError error)
{
    const auto index = std::min(static_cast<size_t>(error), ErrorCount - 1);
    return ErrorInfos[index];
}

RequestError requestErrorFrom(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return RequestError::InvalidRequest;
    case ErrorCode::Unauthenticated:
        return RequestError::Unauthenticated;
    case ErrorCode::PermissionDenied:
        return RequestError::PermissionDenied;
    case ErrorCode::NotFound:
        return RequestError::ModelNotFound;
    case ErrorCode::AlreadyExists:
    case ErrorCode::Conflict:
        return RequestError::DuplicateInProgress;
    case ErrorCode::ResourceExhausted:
        return RequestError::QueueFull;
    case ErrorCode::DeadlineExceeded:
        return RequestError::DeadlineExceeded;
    case ErrorCode::Cancelled:
        return RequestError::CallerCancelled;
    case ErrorCode::Unavailable:
        return RequestError::NoCapacity;
    case ErrorCode::OutcomeUnknown:
        return RequestError::OutcomeUnknown;
    case ErrorCode::ProtocolError:
        return RequestError::EndpointFailed;
    case ErrorCode::Internal:
        return RequestError::Internal;
    }
    return RequestError::Internal;
}

Seconds retryAfterHeader(const Refusal &refusal)
{
    if (!requestErrorInfo(refusal.m_error).m_sendRetryAfter || refusal.m_retryAfter <= Duration{})
        return Seconds{ 0 };
    return std::chrono::ceil<Seconds>(refusal.m_retryAfter);
}

std::string errorBody(const Refusal &refusal)
{
    const RequestErrorInfo &info = requestErrorInfo(refusal.m_error);
    nlohmann::json error = {
        { "message", refusal.m_message },
        { "type", info.m_type },
        { "code", info.m_code },
        { "outcome", outcomeName(refusal.m_outcome) },
    };
    if (retryAfterHeader(refusal) > Seconds{ 0 }) {
        const auto wait = std::chrono::ceil<Millis>(refusal.m_retryAfter);
        error["retry_after_ms"] = wait.count();
    }
    const nlohmann::json body = { { "error", std::move(error) } };
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace stackquay
