/// JSON bodies over HTTP, as the stand-ins' protocols use them.
#pragma once

#include <nlohmann/json.hpp>

#include "net/net.h"

namespace stackquay::standin {

using Json = nlohmann::json;

Status respondJson(HttpExchange &exchange, unsigned status, const Json &body);
/// The status with `{"error":{"code":CODE}}`.
Status respondError(HttpExchange &exchange, unsigned status, std::string_view code);
/// The request's body as a JSON object; an empty body is an empty object.
Result<Json> parseBody(const HttpExchange &exchange);
/// The values of a JSON object's members, with a default for absent or mistyped ones.
int64_t intMember(const Json &object, const char *name, int64_t defaultValue);
std::string textMember(const Json &object, const char *name);
bool flagMember(const Json &object, const char *name);
/// A number from a query value or a header; the default if it is empty or malformed.
int64_t toInt(std::string_view text, int64_t defaultValue);

} // namespace stackquay::standin
