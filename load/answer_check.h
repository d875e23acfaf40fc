/// Checks a streamed answer frame by frame: indices without a gap, the right count at the end.
#pragma once

#include "load/record.h"

namespace stackquay {

enum class AnswerForm {
    Caller, ///< Completions as a daemon streams them, ended by [DONE].
    Engine, ///< Frames of the engine protocol.
};

/// What a whole answer has to agree with.
struct ExpectedAnswer {
    AnswerForm m_form = AnswerForm::Caller;
    uint32_t m_promptTokens = 0;
    uint32_t m_maxTokens = 0;
    std::string m_attempt; ///< Engine form: echoed in every frame.
};

enum class AnswerState {
    Open, ///< The final frame has not come yet.
    Whole,
    Errored, ///< The answer itself says that it failed.
    Wrong,
};

class AnswerCheck
{
public:
    explicit AnswerCheck(ExpectedAnswer expected);

    /// Takes the next bytes of the body.
    void feed(std::string_view piece);

    AnswerState state() const { return m_state; }
    /// What was wrong, for people.
    const std::string &problem() const { return m_problem; }
    uint32_t tokens() const { return m_tokens; }
    uint32_t cachedTokens() const { return m_cachedTokens; }
    uint32_t tokenFrames() const { return m_tokenFrames; }
    /// Hash of the text so far; the same however it was cut into frames.
    uint64_t textHash() const { return stableHash(m_text); }

private:
    void takeLine(std::string_view line);
    void takeFrame(std::string_view data);
    void takeTokens(uint64_t index, uint64_t count, std::string_view text);
    void takeFinal(uint64_t tokens, uint64_t cached, std::string_view reason);
    void fail(std::string problem);

    ExpectedAnswer m_expected;
    AnswerState m_state = AnswerState::Open;
    bool m_final = false;
    std::string m_problem;
    std::string m_partial; ///< A line whose end has not come.
    uint32_t m_tokens = 0;
    uint32_t m_cachedTokens = 0;
    uint32_t m_tokenFrames = 0;
    std::string m_text;
};

} // namespace stackquay
