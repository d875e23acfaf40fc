/// Request targets (RFC 3986): how they are written from their parts, and what they may contain.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

} // namespace stackquay
