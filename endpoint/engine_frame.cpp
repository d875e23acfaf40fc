#include "endpoint/engine_frame.h"

#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

using Json = nlohmann::json;

uint64_t number(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
        return 0;
    return found->get<uint64_t>();
}

std::string text(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

bool has(const Json &object, const char *key)
{
    return object.find(key) != object.end();
}

FinalFrame parseFinal(const Json &object)
{
    FinalFrame frame;
    frame.m_tokens = number(object, "tokens");
    frame.m_cached = number(object, "cached");
    frame.m_finish = text(object, "finish");
    frame.m_prefill = Micros(number(object, "prefill_us"));
    frame.m_queue = Micros(number(object, "queue_us"));
    return frame;
}

} // namespace

Result<EngineFrame> parseEngineFrame(std::string_view json, const AttemptId &attempt)
{
    const Json object = Json::parse(json, nullptr, false);
    if (!object.is_object())
        return makeError(ErrorCode::ProtocolError, "frame is not a JSON object");
    if (text(object, "attempt") != attempt.str())
        return makeError(ErrorCode::ProtocolError, "frame of another attempt");
    if (has(object, "done"))
        return parseFinal(object);
    if (has(object, "prefilled"))
        return PrefillFrame{ number(object, "prefilled"), number(object, "cached") };
    TokenFrame frame;
    frame.m_index = number(object, "index");
    frame.m_count = number(object, "n");
    frame.m_text = text(object, "text");
    if (frame.m_count == 0)
        return makeError(ErrorCode::ProtocolError, "frame without tokens");
    return frame;
}

} // namespace stackquay
