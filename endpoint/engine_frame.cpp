#include "endpoint/engine_frame.h"

#include "core/json_fields.h"

namespace stackquay {

namespace {

uint64_t numberField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned())
        return 0;
    return found->get<uint64_t>();
}

std::string textField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string())
        return {};
    return found->get<std::string>();
}

bool hasField(const Json &object, const char *key)
{
    return object.find(key) != object.end();
}

FinalFrame parseFinal(const Json &object)
{
    FinalFrame frame;
    frame.m_tokens = numberField(object, "tokens");
    frame.m_cached = numberField(object, "cached");
    frame.m_finish = textField(object, "finish");
    frame.m_prefill = Micros(numberField(object, "prefill_us"));
    frame.m_queue = Micros(numberField(object, "queue_us"));
    return frame;
}

} // namespace

Result<EngineFrame> parseEngineFrame(std::string_view json, const AttemptId &attempt)
{
    const auto parsed = parseJsonObject(json);
    if (!parsed)
        return makeError(ErrorCode::ProtocolError, "frame: " + parsed.error().m_message);
    const Json &object = *parsed;
    if (textField(object, "attempt") != attempt.str())
        return makeError(ErrorCode::ProtocolError, "frame belongs to another attempt");
    if (hasField(object, "done"))
        return parseFinal(object);
    if (hasField(object, "prefilled"))
        return PrefillFrame{ numberField(object, "prefilled"), numberField(object, "cached") };
    TokenFrame frame;
    frame.m_index = numberField(object, "index");
    frame.m_count = numberField(object, "n");
    frame.m_text = textField(object, "text");
    if (frame.m_count == 0)
        return makeError(ErrorCode::ProtocolError, "frame without tokens");
    return frame;
}

} // namespace stackquay
