/// Length classes of prompts, by the tokens that an engine still has to prefill.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace stackquay {

/// Length of a prompt, counted in uncached tokens.
enum class LengthClass {
    Short, ///< Up to 4,096 tokens.
    Medium, ///< Up to 32,768 tokens.
    Long, ///< Up to 131,072 tokens.
    VeryLong, ///< Longer.
    Count, ///< Number of classes; not a class.
};

/// Bytes of text per token, for estimates.
inline constexpr uint64_t BytesPerToken = 4;
/// Largest number of tokens of each class, except for VeryLong.
inline constexpr std::array<uint64_t, 3> LengthClassLimits = { 4'096, 32'768, 131'072 };

LengthClass lengthClass(uint64_t uncachedTokens);

/// "short", "medium", "long" or "very-long", as in tables and metrics.
std::string_view lengthClassName(LengthClass lengthClass);

/// Estimated tokens of a prompt of @p bytes, rounded up.
uint64_t estimateTokens(size_t bytes);

/// Whether prompts of this class are sent only to engines that accept long prompts.
bool isLongPrefill(LengthClass lengthClass);

} // namespace stackquay
