#include "load/answer_check.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace stackquay {

namespace {

using Json = nlohmann::json;

constexpr std::string_view DataField = "data:";
constexpr std::string_view DoneMark = "[DONE]";

/// The unsigned number called @p name, or @p fallback.
uint64_t number(const Json &object, const char *name, uint64_t fallback = 0)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_unsigned() ? found->get<uint64_t>() : fallback;
}

std::string_view text(const Json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string())
        return {};
    return found->get_ref<const std::string &>();
}

/// A caller's or engine's frame, in one shape.
struct Frame {
    bool m_error = false;
    bool m_final = false;
    bool m_tokens = false;
    uint64_t m_index = 0;
    uint64_t m_count = 0;
    std::string_view m_text;
    uint64_t m_total = 0;
    uint64_t m_cached = 0;
    uint64_t m_promptTokens = 0;
    std::string_view m_reason;
    std::string_view m_attempt;
};

Frame readEngineFrame(const Json &json)
{
    Frame frame;
    frame.m_error = json.contains("error");
    frame.m_attempt = text(json, "attempt");
    frame.m_final = json.value("done", false);
    frame.m_tokens = !frame.m_final && json.contains("n");
    frame.m_index = number(json, "index");
    frame.m_count = number(json, "n");
    frame.m_text = text(json, "text");
    frame.m_total = number(json, "tokens");
    frame.m_cached = number(json, "cached");
    frame.m_reason = text(json, "finish");
    return frame;
}

Frame readCallerFrame(const Json &json)
{
    Frame frame;
    frame.m_error = json.contains("error");
    const auto choices = json.find("choices");
    if (choices != json.end() && choices->is_array() && !choices->empty()) {
        frame.m_text = text(choices->front(), "text");
        frame.m_reason = text(choices->front(), "finish_reason");
    }
    const auto position = json.find("stackquay");
    if (position != json.end() && position->is_object()) {
        frame.m_index = number(*position, "index");
        frame.m_count = number(*position, "n");
        frame.m_tokens = frame.m_count > 0;
    }
    const auto usage = json.find("usage");
    frame.m_final = usage != json.end() && usage->is_object();
    if (frame.m_final) {
        frame.m_total = number(*usage, "completion_tokens");
        frame.m_cached = number(*usage, "cached_tokens");
        frame.m_promptTokens = number(*usage, "prompt_tokens");
    }
    return frame;
}

} // namespace

AnswerCheck::AnswerCheck(ExpectedAnswer expected)
    : m_expected(std::move(expected))
{ }

void AnswerCheck::feed(std::string_view piece)
{
    while (!piece.empty()) {
        const size_t end = piece.find('\n');
        if (end == std::string_view::npos) {
            m_partial += piece;
            return;
        }
        if (m_partial.empty()) {
            takeLine(piece.substr(0, end));
        } else {
            m_partial += piece.substr(0, end);
            const std::string line = std::exchange(m_partial, {});
            takeLine(line);
        }
        piece.remove_prefix(end + 1);
    }
}

void AnswerCheck::takeLine(std::string_view line)
{
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    if (m_state != AnswerState::Open || line.substr(0, DataField.size()) != DataField)
        return;
    line.remove_prefix(DataField.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    takeFrame(line);
}

void AnswerCheck::takeFrame(std::string_view data)
{
    if (data == DoneMark) {
        if (!m_final)
            return fail("[DONE] before the final frame");
        m_state = AnswerState::Whole;
        return;
    }
    if (m_final)
        return fail("a frame after the final one");
    const Json json = Json::parse(data, nullptr, false);
    if (!json.is_object())
        return fail("a frame that is not JSON");
    const bool engine = m_expected.m_form == AnswerForm::Engine;
    const Frame frame = engine ? readEngineFrame(json) : readCallerFrame(json);
    if (frame.m_error) {
        m_state = AnswerState::Errored;
        m_problem = std::string(data);
        return;
    }
    if (engine && frame.m_attempt != m_expected.m_attempt)
        return fail("a frame of another attempt");
    if (frame.m_tokens)
        takeTokens(frame.m_index, frame.m_count, frame.m_text);
    if (!frame.m_final || m_state != AnswerState::Open)
        return;
    if (!engine && frame.m_promptTokens != m_expected.m_promptTokens)
        return fail(fmt::format("{} prompt tokens counted, {} sent", frame.m_promptTokens,
                                m_expected.m_promptTokens));
    takeFinal(frame.m_total, frame.m_cached, frame.m_reason);
    if (engine && m_state == AnswerState::Open)
        m_state = AnswerState::Whole;
}

void AnswerCheck::takeTokens(uint64_t index, uint64_t count, std::string_view text)
{
    if (index != m_tokens)
        return fail(fmt::format("token {} came where {} was due", index, m_tokens));
    m_tokens += static_cast<uint32_t>(count);
    ++m_tokenFrames;
    m_text += text;
    if (m_tokens > m_expected.m_maxTokens)
        fail("more tokens than asked for");
}

void AnswerCheck::takeFinal(uint64_t tokens, uint64_t cached, std::string_view reason)
{
    m_final = true;
    m_cachedTokens = static_cast<uint32_t>(cached);
    if (tokens != m_tokens)
        return fail(fmt::format("the final frame counts {} tokens, {} came", tokens, m_tokens));
    if (reason != "stop" && reason != "length")
        return fail("the final frame has no reason to end");
    if (reason == "length" && m_tokens != m_expected.m_maxTokens)
        fail("ended for length before its length");
}

void AnswerCheck::fail(std::string problem)
{
    m_state = AnswerState::Wrong;
    m_problem = std::move(problem);
}

} // namespace stackquay
