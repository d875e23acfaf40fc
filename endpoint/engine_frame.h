/// What an engine streams back, as typed frames. Wire shape: docs/PROTOCOLS.md.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "core/core.h"

namespace stackquay {

struct TokenFrame {
    uint64_t m_index = 0; ///< Position of the first token.
    uint64_t m_count = 0; ///< Number of tokens.
    std::string m_text;
};

/// The answer to an attempt that only fills the prefix cache.
struct PrefillFrame {
    uint64_t m_prefilled = 0; ///< Tokens of the prompt computed now.
    uint64_t m_cached = 0; ///< Those before them that had been in the cache.
};

struct FinalFrame {
    uint64_t m_tokens = 0; ///< The whole answer's length, including tokens skipped.
    uint64_t m_cached = 0; ///< Prompt tokens found in the prefix cache.
    std::string m_finish; ///< "stop" or "length".
    Micros m_prefill{ 0 };
    Micros m_queue{ 0 };
};

using EngineFrame = std::variant<TokenFrame, PrefillFrame, FinalFrame>;

/// Parses one frame's JSON, and checks that it belongs to @p attempt.
Result<EngineFrame> parseEngineFrame(std::string_view json, const AttemptId &attempt);

} // namespace stackquay
