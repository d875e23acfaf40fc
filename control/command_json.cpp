#include "control/command_json.h"

#include "core/json_fields.h"

namespace stackquay {

namespace {

constexpr Millis LongestAge{ std::chrono::hours(24 * 365) };

Result<IntentJson> parseObject(std::string_view text)
{
    auto json = parseJson<IntentJson>(text);
    if (!json || !json->is_object())
        return makeError(ErrorCode::InvalidArgument, "The body is no JSON object.");
    return *std::move(json);
}

std::string textField(const IntentJson &json, const char *name)
{
    const auto field = json.find(name);
    return field != json.end() && field->is_string() ? field->get<std::string>() : "";
}

uint64_t wholeField(const IntentJson &json, const char *name)
{
    const auto field = json.find(name);
    return field != json.end() && field->is_number_unsigned() ? field->get<uint64_t>() : 0;
}

Millis millisField(const IntentJson &json, const char *name)
{
    const uint64_t value = wholeField(json, name);
    return std::min(Millis(std::min<uint64_t>(value, LongestAge.count())), LongestAge);
}

std::vector<std::string> listField(const IntentJson &json, const char *name)
{
    std::vector<std::string> list;
    const auto field = json.find(name);
    if (field == json.end() || !field->is_array())
        return list;
    for (const IntentJson &item : *field) {
        if (item.is_string())
            list.push_back(item.get<std::string>());
    }
    return list;
}

std::string dumped(const IntentJson &json)
{
    return json.dump(-1, ' ', false, IntentJson::error_handler_t::replace);
}

} // namespace

std::string encodeCommandRequest(const CommandRequest &request)
{
    const Millis age = std::chrono::ceil<Millis>(request.m_age);
    return dumped({ { "statement", request.m_statement },
                    { "change_id", request.m_change.str() },
                    { "age_ms", age.count() },
                    { "wait_ms", request.m_wait.count() } });
}

Result<CommandRequest> decodeCommandRequest(std::string_view text)
{
    const Result<IntentJson> json = parseObject(text);
    if (!json)
        return tl::unexpected(json.error());
    CommandRequest request;
    request.m_statement = textField(*json, "statement");
    if (request.m_statement.empty())
        return makeError(ErrorCode::InvalidArgument, "\"statement\": found none, allowed a text.");
    request.m_change = ChangeId(textField(*json, "change_id"));
    request.m_age = millisField(*json, "age_ms");
    request.m_wait = millisField(*json, "wait_ms");
    return request;
}

std::string encodeCommandAnswer(const CommandAnswer &answer)
{
    return dumped({ { "outcome", outcomeCodes(answer.m_outcome).m_name },
                    { "revision", answer.m_revision },
                    { "text", answer.m_text },
                    { "result", answer.m_result },
                    { "behind", answer.m_behind },
                    { "missing", answer.m_missing },
                    { "change_id", answer.m_change.str() } });
}

Result<CommandAnswer> decodeCommandAnswer(std::string_view text)
{
    const Result<IntentJson> json = parseObject(text);
    if (!json)
        return makeError(ErrorCode::ProtocolError, "The answer is no JSON object.");
    const Result<CommandOutcome> outcome = commandOutcomeFromName(textField(*json, "outcome"));
    if (!outcome)
        return tl::unexpected(outcome.error());
    CommandAnswer answer;
    answer.m_outcome = *outcome;
    answer.m_revision = wholeField(*json, "revision");
    answer.m_text = textField(*json, "text");
    answer.m_result = json->value("result", IntentJson());
    answer.m_behind = listField(*json, "behind");
    answer.m_missing = listField(*json, "missing");
    answer.m_change = ChangeId(textField(*json, "change_id"));
    return answer;
}

} // namespace stackquay
