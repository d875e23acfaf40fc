/// JSON form of the intent: whole and lossless, errors with the path of the bad field.
///
/// The form is an object with "revision", "weight_loads_at_once" and one array per kind of entity;
/// field names are those of the operators' language. Optional fields that are absent keep their
/// defaults.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "policy/intent.h"

namespace stackquay {

/// What to do with a field that this version does not know.
enum class UnknownFields {
    Refuse, ///< For what operators write.
    Ignore, ///< For snapshots that a newer version may have written.
};

/// Key order is kept as declared, so that printed entities read well.
using IntentJson = nlohmann::ordered_json;

IntentJson intentToJson(const Intent &intent);

/// InvalidArgument names the field, what was found and what is allowed, such as
/// `models[hint-forge].max_span: found "two", allowed a whole number from 0 to 4294967295`.
Result<Intent> intentFromJson(const IntentJson &json,
                              UnknownFields unknown = UnknownFields::Refuse);

/// One line of JSON.
std::string encodeIntent(const Intent &intent);

/// As intentFromJson(); text that is no JSON is named with its line and column.
Result<Intent> decodeIntent(std::string_view text, UnknownFields unknown = UnknownFields::Refuse);

} // namespace stackquay
