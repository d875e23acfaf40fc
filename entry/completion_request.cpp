#include "entry/completion_request.h"

#include <fmt/format.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

constexpr uint64_t DefaultMaxTokens = 256;
constexpr uint64_t MaxOutputTokens = 1'000'000;

tl::unexpected<Error> invalid(std::string message)
{
    return makeError(ErrorCode::InvalidArgument, std::move(message));
}

Status readModel(const Json &body, CompletionRequest &request)
{
    const auto model = body.find("model");
    if (model == body.end() || !model->is_string() || model->get_ref<const std::string &>().empty())
        return invalid("'model' must be a non-empty string");
    const auto &name = model->get_ref<const std::string &>();
    const size_t colon = name.find(':');
    request.m_model = ModelId(name.substr(0, colon));
    if (colon != std::string::npos)
        request.m_adapter = name.substr(colon + 1);
    return {};
}

Status readMaxTokens(const Json &body, CompletionRequest &request)
{
    request.m_maxTokens = DefaultMaxTokens;
    auto field = body.find("max_completion_tokens");
    if (field == body.end())
        field = body.find("max_tokens");
    if (field == body.end() || field->is_null())
        return {};
    if (!field->is_number_unsigned() || field->get<uint64_t>() == 0
        || field->get<uint64_t>() > MaxOutputTokens)
        return invalid(
            fmt::format("'max_tokens' must be an integer from 1 to {}", MaxOutputTokens));
    request.m_maxTokens = field->get<uint64_t>();
    return {};
}

Status readStream(const Json &body, CompletionRequest &request)
{
    const auto stream = body.find("stream");
    if (stream == body.end() || stream->is_null())
        return {};
    if (!stream->is_boolean())
        return invalid("'stream' must be true or false");
    request.m_stream = stream->get<bool>();
    return {};
}

Status appendMessage(const Json &message, std::string &prompt)
{
    const auto role = message.find("role");
    const auto content = message.find("content");
    if (role == message.end() || !role->is_string())
        return invalid("each of 'messages' needs a string 'role'");
    if (content == message.end() || !content->is_string())
        return invalid("each of 'messages' needs a string 'content'");
    prompt += role->get_ref<const std::string &>();
    prompt += ": ";
    prompt += content->get_ref<const std::string &>();
    prompt += '\n';
    return {};
}

Status readMessages(const Json &body, CompletionRequest &request)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array() || messages->empty())
        return invalid("'messages' must be a non-empty array");
    for (const Json &message : *messages) {
        if (!message.is_object())
            return invalid("each of 'messages' must be an object");
        const Status status = appendMessage(message, request.m_prompt);
        if (!status)
            return status;
    }
    return {};
}

Status readPrompt(Json &body, CompletionRequest &request)
{
    if (request.m_shape == ApiShape::Chat)
        return readMessages(body, request);
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string())
        return invalid("'prompt' must be a string");
    request.m_prompt = std::move(prompt->get_ref<std::string &>());
    if (request.m_prompt.empty())
        return invalid("'prompt' must not be empty");
    return {};
}

} // namespace

Result<CompletionRequest> parseCompletionRequest(ApiShape shape, std::string_view text)
{
    auto parsed = parseJson(text);
    if (!parsed)
        return invalid("the body is not valid JSON: " + parsed.error().m_message);
    Json &body = *parsed;
    if (!body.is_object())
        return invalid("the body must be a JSON object");
    CompletionRequest request;
    request.m_shape = shape;
    return readModel(body, request)
        .and_then([&] { return readMaxTokens(body, request); })
        .and_then([&] { return readStream(body, request); })
        .and_then([&] { return readPrompt(body, request); })
        .map([&] { return std::move(request); });
}

} // namespace stackquay
