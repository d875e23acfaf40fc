#include "core/json_fields.h"

namespace stackquay {

namespace {

/// The field, or null.
const Json *findField(const Json &object, const char *name)
{
    if (!object.is_object())
        return nullptr;
    const auto found = object.find(name);
    return found == object.end() ? nullptr : &*found;
}

} // namespace

Result<Json> parseJsonObject(std::string_view text)
{
    auto parsed = parseJson(text);
    if (parsed && !parsed->is_object())
        return makeError(ErrorCode::ProtocolError, "not a JSON object");
    return parsed;
}

std::optional<uint64_t> uintField(const Json &object, const char *name)
{
    const Json *field = findField(object, name);
    if (!field || !field->is_number_unsigned())
        return std::nullopt;
    return field->get<uint64_t>();
}

std::optional<int64_t> intField(const Json &object, const char *name)
{
    const Json *field = findField(object, name);
    if (!field || !field->is_number_integer())
        return std::nullopt;
    return field->get<int64_t>();
}

std::optional<std::string> stringField(const Json &object, const char *name)
{
    const Json *field = findField(object, name);
    if (!field || !field->is_string())
        return std::nullopt;
    return field->get<std::string>();
}

bool boolField(const Json &object, const char *name)
{
    const Json *field = findField(object, name);
    return field && field->is_boolean() && field->get<bool>();
}

const Json &arrayField(const Json &object, const char *name)
{
    static const Json empty = Json::array();
    const Json *field = findField(object, name);
    return field && field->is_array() ? *field : empty;
}

} // namespace stackquay
