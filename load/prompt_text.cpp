#include "load/prompt_text.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

constexpr size_t TextBytes = 1 << 20;
constexpr uint64_t TextSeed = 20;
constexpr size_t JsonMargin = 512;
constexpr int WordLetters = 7;

/// A JSON string with its quotes.
std::string quoted(const std::string &text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string_view shorten(std::string_view text, size_t bytes)
{
    return text.substr(0, bytes);
}

} // namespace

PromptText::PromptText()
{
    RandomEngine random(TextSeed);
    m_text.reserve(TextBytes);
    while (m_text.size() < TextBytes) {
        const int letters = 1 + static_cast<int>(random() % WordLetters);
        for (int i = 0; i < letters; ++i)
            m_text += static_cast<char>('a' + random() % 26);
        m_text += ' ';
    }
}

void PromptText::append(std::string &body, const PlannedRequest &request,
                        uint32_t prefixTokens) const
{
    const size_t total = size_t(request.m_promptTokens) * BytesPerToken;
    size_t left = total;
    if (request.m_prefix > 0) {
        const size_t bytes = std::min(left, size_t(prefixTokens) * BytesPerToken);
        appendText(body, bytes, request.m_prefix);
        left -= bytes;
    }
    appendText(body, left, request.m_promptSeed);
}

void PromptText::appendText(std::string &body, size_t bytes, uint64_t seed) const
{
    const std::string head = fmt::format("{:016x} ", seed);
    const std::string_view start = shorten(head, bytes);
    body += start;
    bytes -= start.size();
    size_t offset = seed % m_text.size();
    while (bytes > 0) {
        const size_t part = std::min(bytes, m_text.size() - offset);
        body.append(m_text, offset, part);
        bytes -= part;
        offset = 0;
    }
}

std::string makeCallerBody(const PromptText &text, const PlannedRequest &request,
                           const LoadOptions &options)
{
    std::string body;
    body.reserve(size_t(request.m_promptTokens) * BytesPerToken + JsonMargin);
    body += fmt::format(R"({{"model":{},"max_tokens":{},"stream":true,"prompt":")",
                        quoted(options.m_model), request.m_outputTokens);
    text.append(body, request, options.m_prefixTokens);
    body += "\"}";
    return body;
}

std::string makeEngineBody(const PromptText &text, const PlannedRequest &request,
                           const LoadOptions &options, const AttemptId &attempt)
{
    std::string body;
    body.reserve(size_t(request.m_promptTokens) * BytesPerToken + JsonMargin);
    body += fmt::format(
        R"({{"model":{},"version":{},"adapter":"","max_tokens":{},"priority":{},"attempt":"{}","owner":"load:1","prompt":")",
        quoted(options.m_model), quoted(options.m_version), request.m_outputTokens,
        request.m_priority, attempt.str());
    text.append(body, request, options.m_prefixTokens);
    body += "\"}";
    return body;
}

} // namespace stackquay
