#include "standin/engine_prompt.h"

#include <fmt/format.h>

namespace stackquay::standin {

namespace {

constexpr char HexDigits[] = "0123456789abcdef";
constexpr size_t TokenTextBytes = 6; // "w1a2b "

} // namespace

EnginePrompt readPrompt(std::string_view text)
{
    EnginePrompt prompt;
    prompt.m_tokens = (text.size() + PromptBytesPerToken - 1) / PromptBytesPerToken;
    prompt.m_blocks.reserve(text.size() / BlockBytes);
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> owner(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_state_t *state = owner.get();
    XXH3_64bits_reset(state);
    size_t done = 0;
    for (; done + BlockBytes <= text.size(); done += BlockBytes) {
        XXH3_64bits_update(state, text.data() + done, BlockBytes);
        prompt.m_blocks.push_back(XXH3_64bits_digest(state));
    }
    XXH3_64bits_update(state, text.data() + done, text.size() - done);
    prompt.m_hash = XXH3_64bits_digest(state);
    return prompt;
}

std::string blockNameText(uint64_t name)
{
    return fmt::format("{:016x}", name);
}

void appendTokenText(std::string &text, uint64_t promptHash, size_t from, size_t to)
{
    text.reserve(text.size() + (to - from) * TokenTextBytes);
    for (uint64_t index = from; index < to; ++index) {
        const uint64_t hash = XXH3_64bits_withSeed(&index, sizeof index, promptHash);
        const char token[TokenTextBytes] = { 'w',
                                             HexDigits[(hash >> 12) & 15],
                                             HexDigits[(hash >> 8) & 15],
                                             HexDigits[(hash >> 4) & 15],
                                             HexDigits[hash & 15],
                                             ' ' };
        text.append(token, TokenTextBytes);
    }
}

std::string expectedAnswer(std::string_view prompt, size_t from, size_t to)
{
    std::string text;
    appendTokenText(text, stableHash(prompt), from, to);
    return text;
}

} // namespace stackquay::standin
