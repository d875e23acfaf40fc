/// Stable 64-bit hashing (XXH3): the same on every VM and version.
#pragma once

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace stackquay {

inline uint64_t stableHash(std::string_view text, uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

/// Score of a candidate for a key in rendezvous hashing: the highest score wins.
inline uint64_t rendezvousScore(std::string_view key, std::string_view candidate)
{
    return stableHash(candidate, stableHash(key));
}

} // namespace stackquay
