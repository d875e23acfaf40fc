#include "standin/json_http.h"

#include <charconv>

namespace stackquay::standin {

Status respondJson(HttpExchange &exchange, unsigned status, const Json &body)
{
    return exchange.respond({ status, { { "Content-Type", "application/json" } }, body.dump() });
}

Status respondError(HttpExchange &exchange, unsigned status, std::string_view code)
{
    return respondJson(exchange, status, { { "error", { { "code", code } } } });
}

Result<Json> parseBody(const HttpExchange &exchange)
{
    const std::string &text = exchange.request().m_body;
    if (text.empty())
        return Json::object();
    Json body = Json::parse(text, nullptr, false);
    if (!body.is_object())
        return makeError(ErrorCode::InvalidArgument, "the body is not a JSON object");
    return body;
}

int64_t intMember(const Json &object, const char *name, int64_t defaultValue)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number())
        return defaultValue;
    return found->get<int64_t>();
}

std::string textMember(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

bool flagMember(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

int64_t toInt(std::string_view text, int64_t defaultValue)
{
    int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return defaultValue;
    return value;
}

} // namespace stackquay::standin
