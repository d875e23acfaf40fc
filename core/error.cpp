#include "core/error.h"

namespace stackquay {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidArgument:
        return "invalid_argument";
    case ErrorCode::Unauthenticated:
        return "unauthenticated";
    case ErrorCode::PermissionDenied:
        return "permission_denied";
    case ErrorCode::NotFound:
        return "not_found";
    case ErrorCode::AlreadyExists:
        return "already_exists";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::ResourceExhausted:
        return "resource_exhausted";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::OutcomeUnknown:
        return "outcome_unknown";
    case ErrorCode::ProtocolError:
        return "protocol_error";
    case ErrorCode::Internal:
        return "internal";
    }
    return "internal";
}

std::string toString(const Error &error)
{
    return std::string(errorCodeName(error.m_code)) + ": " + error.m_message;
}

} // namespace stackquay
