/// Length classes of prompts, by the tokens that an engine still has to prefill.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stackquay {

/// How long a prompt is, counted in uncached tokens.
enum class LengthClass {
    Short, ///< Up to 4,096 tokens.
    Medium, ///< Up to 32,768 tokens.
    Long, ///< Up to 131,072 tokens.
    VeryLong, ///< Above.
    Count, ///< Number of classes; not a class.
};

inline constexpr uint64_t BytesPerToken = 4;
inline constexpr std::array<uint64_t, 3> LengthClassLimits = { 4'096, 32'768, 131'072 };

LengthClass lengthClass(uint64_t uncachedTokens);

/// "short", "medium", "long" or "very-long", as in tables and metrics.
std::string_view lengthClassName(LengthClass lengthClass);

/// Tokens of a prompt of @p bytes: one for each four bytes, rounded up.
uint64_t estimateTokens(size_t bytes);

/// Whether a prompt of this class keeps to the engines that accept long ones.
bool isLongPrefill(LengthClass lengthClass);

} // namespace stackquay
