/// Names of a prompt's prefix blocks, and what is known of an engine's prefix cache.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"

namespace stackquay {

inline constexpr uint64_t PrefixBlockTokens = 256;
inline constexpr size_t PrefixBlockBytes = 1'024;

/// The hash of the text from the start to the end of a block.
struct PrefixBlock {
    uint32_t m_number = 0; ///< Counted from 1: the block ends at m_number * 256 tokens.
    uint64_t m_hash = 0;

    bool operator==(const PrefixBlock &) const = default;
    MSGPACK_DEFINE(m_number, m_hash)
};

/// The sampled blocks of a prompt in order: all up to 31, then sixteen for each doubling of the
/// length, so that the longest prompt needs fewer than 200. As a block's hash covers the whole
/// text before it, a sampled block that is cached stands for all before it.
using PrefixBlocks = std::vector<PrefixBlock>;

/// Whether block @p number is among the sampled ones.
bool isSampledBlock(uint32_t number);

/// Computes the sampled blocks of a prompt that arrives in pieces.
class PrefixHasher
{
public:
    /// Blocks after @p maxBlocks are not looked at.
    explicit PrefixHasher(uint32_t maxBlocks = DefaultMaxBlocks);

    void update(std::string_view piece);
    const PrefixBlocks &blocks() const { return m_blocks; }

    static constexpr uint32_t DefaultMaxBlocks = 8'192; ///< Two million tokens.

private:
    struct FreeState {
        void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
    };

    std::unique_ptr<XXH3_state_t, FreeState> m_state;
    uint32_t m_maxBlocks;
    uint32_t m_number = 0;
    size_t m_filled = 0; ///< Bytes in the open block.
    PrefixBlocks m_blocks;
};

PrefixBlocks prefixBlocks(std::string_view prompt);

/// The block's name in cache events: 16 hex digits.
std::string blockName(uint64_t hash);
Result<uint64_t> parseBlockName(std::string_view name);

/// The hash by which requests with a common start are kept together: the one of the last sampled
/// block up to @p maxBlocks; 0 for prompts shorter than a block.
uint64_t affinityKey(const PrefixBlocks &blocks, uint32_t maxBlocks = 4);

/// Score of an endpoint for an affinity key in rendezvous hashing: the highest wins.
uint64_t affinityScore(uint64_t key, const EndpointId &endpoint);

/// What is believed to be in one engine's prefix cache: hashes, the least recently used out first.
struct PrefixIndex {
    std::list<uint64_t> m_recent; ///< Most recently used first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_entries;
    size_t m_capacity = 8'192;
};

/// Tokens of the prompt's prefix believed to be cached.
uint64_t cachedTokens(const PrefixIndex &index, const PrefixBlocks &blocks);
void insertBlock(PrefixIndex &index, uint64_t hash);
void eraseBlock(PrefixIndex &index, uint64_t hash);
/// Notes that a prompt is prefilled now, or will be before what is granted next.
void notePrompt(PrefixIndex &index, const PrefixBlocks &blocks);
/// Notes an answer. When fewer tokens were cached than @p expected, evictions did not reach us: the
/// engine's cache is smaller than believed, so the index shrinks; else it grows slowly when full.
void noteCached(PrefixIndex &index, uint64_t expected, uint64_t reported);
/// Forgets everything, as after a restart of the engine.
void clearIndex(PrefixIndex &index);

} // namespace stackquay
