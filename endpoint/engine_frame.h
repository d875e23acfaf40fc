/// Typed frames of an engine's response stream. Wire format: docs/PROTOCOLS.md.
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

/// Response to an attempt that only fills the prefix cache.
struct PrefillFrame {
    uint64_t m_prefilled = 0; ///< Prompt tokens computed by this attempt.
    uint64_t m_cached = 0; ///< Prompt tokens before them, found in the cache.
};

struct FinalFrame {
    uint64_t m_tokens = 0; ///< Length of the whole answer, including skipped tokens.
    uint64_t m_cached = 0; ///< Prompt tokens found in the prefix cache.
    std::string m_finish; ///< "stop" or "length".
    Micros m_prefill{ 0 };
    Micros m_queue{ 0 };
};

using EngineFrame = std::variant<TokenFrame, PrefillFrame, FinalFrame>;

/// Parses the JSON of one frame. A malformed frame or one of an attempt other than @p attempt is a
/// ProtocolError.
Result<EngineFrame> parseEngineFrame(std::string_view json, const AttemptId &attempt);

} // namespace stackquay
