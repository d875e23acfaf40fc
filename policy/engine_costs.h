/// Arithmetic of an engine whose costs are declared: how long it reads a prompt, and how long one
/// of its passes takes.
///
/// An engine works in passes. A pass that writes executes `stride` token steps, and reads waiting
/// prompts in between, so that each read lengthens the pause of every stream that writes there.
#pragma once

#include <cstdint>

#include "core/core.h"

namespace stackquay {

using FloatMillis = std::chrono::duration<double, std::milli>;

struct EngineCosts {
    uint32_t m_slots = 1; ///< Requests at once.
    uint64_t m_memoryTokens = 0;
    uint32_t m_stride = 1; ///< Token steps in a pass that writes.
    FloatMillis m_step{ 1 };
    FloatMillis m_stepPerSequence{ 0 };
    FloatMillis m_stepPerThousandContext{ 0 };
    double m_readTokensPerSecond = 1; ///< Prompt tokens.
    FloatMillis m_perMillionPairs{ 0 }; ///< Pairs of a token and any earlier one.
    FloatMillis m_hop{ 0 }; ///< Added to a step for each request read by several engines.
    uint64_t m_usualAnswerTokens = 0; ///< Mean; zero: not declared.
};

/// Time to read a prompt of @p tokens on one engine that does nothing else.
FloatMillis readTime(const EngineCosts &costs, double tokens);

/// Time of one pass that writes for @p writers requests with @p contextTokens in all, and reads
/// nothing.
FloatMillis passTime(const EngineCosts &costs, uint32_t writers, double contextTokens);

/// Time to write @p answerTokens on an engine whose slots are all taken and whose memory is half
/// full.
FloatMillis writeTime(const EngineCosts &costs, double answerTokens);

} // namespace stackquay
