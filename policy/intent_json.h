/// Lossless JSON codec of the intent. Errors name the path of the invalid field.
///
/// The JSON is an object with "revision", "weight_loads_at_once" and one array for each kind of
/// entity; field names are those of the operators' language. Absent fields keep their defaults.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "policy/intent.h"

namespace stackquay {

/// How to treat fields that this version of the program does not define.
enum class UnknownFields {
    Refuse, ///< For input of operators.
    Ignore, ///< For snapshots, which a newer version may have written.
};

/// Keeps the order of fields, so that printed entities are easy to read.
using IntentJson = nlohmann::ordered_json;

IntentJson intentToJson(const Intent &intent);

/// Errors are InvalidArgument with the field, the value found and the allowed values, such as
/// `models[hint-forge].max_span: found "two", allowed a whole number from 0 to 4294967295`.
Result<Intent> intentFromJson(const IntentJson &json,
                              UnknownFields unknown = UnknownFields::Refuse);

/// The intent as one line of JSON.
std::string encodeIntent(const Intent &intent);

/// As intentFromJson(). If the text is not valid JSON, the error gives the line and column.
Result<Intent> decodeIntent(std::string_view text, UnknownFields unknown = UnknownFields::Refuse);

} // namespace stackquay
