/// Outcomes as values: every call that can fail returns Result<T>.
#pragma once

#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace stackquay {

/// What went wrong, coarse enough to act on.
enum class ErrorCode {
    InvalidArgument, ///< The caller's input is wrong; a retry cannot help.
    Unauthenticated, ///< No valid key.
    PermissionDenied, ///< The key does not allow this.
    NotFound,
    AlreadyExists,
    Conflict, ///< A conditional write lost, or the object changed.
    ResourceExhausted, ///< A limit, budget or queue is full; try again later.
    DeadlineExceeded,
    Cancelled,
    Unavailable, ///< The peer, endpoint or store cannot be reached.
    OutcomeUnknown, ///< The operation may or may not have taken effect.
    ProtocolError, ///< The peer sent something malformed.
    Internal,
};

/// The standard lower-case name of a code, as used in logs and JSON.
std::string_view errorCodeName(ErrorCode code);

struct Error {
    ErrorCode m_code = ErrorCode::Internal;
    std::string m_message;
};

template<typename T>
using Result = tl::expected<T, Error>;
using Status = tl::expected<void, Error>;

inline tl::unexpected<Error> makeError(ErrorCode code, std::string message)
{
    return tl::unexpected<Error>(Error{ code, std::move(message) });
}

/// "unavailable: connect refused", for logs.
std::string toString(const Error &error);

} // namespace stackquay
