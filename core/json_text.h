/// Splits JSON texts into members and items without decoding them, so that a value that cannot be
/// decoded affects only itself.
///
/// Strings are skipped with their escapes and brackets are counted. Escapes, numbers, the encoding
/// and the content of nested values are not checked; the depth of nesting needs no stack.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/error.h"

namespace stackquay {

/// A member of an object; both views refer to the text that was split.
struct JsonMember {
    std::string_view m_name; ///< Between the quotes; escapes are not decoded.
    std::string_view m_value;
};

/// The members of the object in @p text in their order, or ProtocolError.
Result<std::vector<JsonMember>> splitJsonObject(std::string_view text);
/// The items of the array in @p text, or ProtocolError.
Result<std::vector<std::string_view>> splitJsonArray(std::string_view text);
/// The value of the last member with this name; empty if there is none.
std::string_view findJsonMember(const std::vector<JsonMember> &members, std::string_view name);
/// The bytes that the JSON string @p text, quotes included, stands for; nothing if it is no string.
/// Also decodes what is not Unicode: bytes that are no UTF-8 stay as they are, and half of a
/// surrogate pair becomes the three bytes of its code point.
std::optional<std::string> decodeJsonBytes(std::string_view text);

} // namespace stackquay
