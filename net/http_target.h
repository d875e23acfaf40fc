/// Request targets (RFC 3986) and header fields (RFC 9110): how they are written, and what they may
/// contain.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "net/http_message.h"

namespace stackquay {

struct QueryParameter {
    std::string m_name;
    std::string m_value;
};

/// Encodes all bytes but the unreserved characters, so that the text has no other meaning in any
/// part of a target. A blank becomes %20 and a plus sign %2B: forms decode them differently.
std::string percentEncode(std::string_view text);
/// Nothing if a percent sign is not followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view text);

/// The target "/a/b?c=d" of the path segments a and b and the query parameter c, each of which may
/// contain any bytes.
std::string writeTarget(const std::vector<std::string> &segments,
                        const std::vector<QueryParameter> &query = {});
/// Whether @p target is a path with an optional query, of permitted characters only.
bool isRequestTarget(std::string_view target);

/// Whether a field can have this value: no control characters but tabs, no blanks around it, and
/// not too long to be sent.
bool isFieldValue(std::string_view value);
/// InvalidArgument if a field of @p headers would not be one field.
Status checkFields(const HttpHeaders &headers);
/// InvalidArgument if the head of @p request would not be one HTTP request head, or not the same
/// one. Characters that a target should not contain are accepted, as clients send them.
Status checkRequestHead(const HttpRequest &request);

} // namespace stackquay
