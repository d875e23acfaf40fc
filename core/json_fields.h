/// Fields of JSON from outside, read without exceptions. For the files that decode; not in core.h,
/// so that the others do not pay for the JSON library.
#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace stackquay {

using Json = nlohmann::json;

/// The object in @p text, or ProtocolError.
Result<Json> parseJsonObject(std::string_view text);

/// The field if it is there and of this type.
std::optional<uint64_t> uintField(const Json &object, const char *name);
std::optional<int64_t> intField(const Json &object, const char *name);
std::optional<std::string> stringField(const Json &object, const char *name);
bool boolField(const Json &object, const char *name);
/// The array field, or an empty array.
const Json &arrayField(const Json &object, const char *name);

} // namespace stackquay
