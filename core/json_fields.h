/// Fields of JSON from outside, read without exceptions. For the files that decode; not in core.h,
/// so that the others do not pay for the JSON library.
#pragma once

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "core/error.h"

namespace stackquay {

using Json = nlohmann::json;

/// Most arrays and objects inside each other in JSON from outside. The JSON library copies and
/// writes values recursively, and the stack of a fiber is small.
constexpr int MaxJsonDepth = 64;

/// A filter for the parser of @p Value that sets @p tooDeep, and keeps nothing more, beyond
/// MaxJsonDepth.
template<typename Value = Json>
typename Value::parser_callback_t limitDepth(bool &tooDeep)
{
    using Event = typename Value::parse_event_t;
    return [&tooDeep](int depth, Event event, Value &) {
        const bool opens = event == Event::object_start || event == Event::array_start;
        tooDeep = tooDeep || (opens && depth >= MaxJsonDepth);
        return !tooDeep;
    };
}

/// The value in @p text, or ProtocolError.
template<typename Value = Json>
Result<Value> parseJson(std::string_view text)
{
    bool tooDeep = false;
    Value parsed = Value::parse(text, limitDepth<Value>(tooDeep), false);
    if (tooDeep)
        return makeError(ErrorCode::ProtocolError, "JSON nested too deeply");
    if (parsed.is_discarded())
        return makeError(ErrorCode::ProtocolError, "not JSON");
    return parsed;
}

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
