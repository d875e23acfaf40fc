/// Prompts and answers of the engine stand-in: token counts, block names and token texts.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "core/core.h"

namespace stackquay::standin {

inline constexpr size_t PromptBytesPerToken = 4;
inline constexpr size_t BlockTokens = 256;
inline constexpr size_t BlockBytes = BlockTokens * PromptBytesPerToken;

/// What the engine keeps of a prompt; not its text.
struct EnginePrompt {
    size_t m_tokens = 0;
    uint64_t m_hash = 0; ///< Of the whole text; decides the answer.
    std::vector<uint64_t> m_blocks; ///< Names of the full blocks: hash from the start to its end.
};

EnginePrompt readPrompt(std::string_view text);
/// 16 hex digits, as block names appear in JSON.
std::string blockNameText(uint64_t name);
/// Appends the text of the answer's tokens [from, to): a function of the prompt's hash and the
/// position only.
void appendTokenText(std::string &text, uint64_t promptHash, size_t from, size_t to);
/// The text of tokens [from, to) of the answer to @p prompt, as any engine stand-in gives it.
std::string expectedAnswer(std::string_view prompt, size_t from, size_t to);

} // namespace stackquay::standin
