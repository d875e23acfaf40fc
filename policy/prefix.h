/// Hashes of a prompt's prefix blocks, and an index of the blocks in an engine's prefix cache.
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

/// A block of a prompt, identified by the hash of the prompt from its start to the end of the
/// block.
struct PrefixBlock {
    uint32_t m_number = 0; ///< Counted from 1: the block ends at m_number * 256 tokens.
    uint64_t m_hash = 0;

    bool operator==(const PrefixBlock &) const = default;
    MSGPACK_DEFINE(m_number, m_hash)
};

/// The sampled blocks of a prompt in order: all up to 31, then sixteen for each doubling of the
/// length, so that the longest prompt needs fewer than 200. A block's hash covers all the text
/// before it, so a cached sampled block implies that all earlier blocks are cached.
using PrefixBlocks = std::vector<PrefixBlock>;

/// Whether block @p number, counted from 1, is sampled.
bool isSampledBlock(uint32_t number);

/// Computes the sampled blocks of a prompt incrementally.
class PrefixHasher
{
public:
    /// Blocks after the first @p maxBlocks are ignored.
    explicit PrefixHasher(uint32_t maxBlocks = DefaultMaxBlocks);

    /// Appends @p piece to the prompt. Pieces may be split anywhere.
    void update(std::string_view piece);
    /// The sampled blocks that are complete so far.
    const PrefixBlocks &blocks() const { return m_blocks; }

    static constexpr uint32_t DefaultMaxBlocks = 8'192; ///< Two million tokens.

private:
    struct FreeState {
        void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
    };

    std::unique_ptr<XXH3_state_t, FreeState> m_state;
    uint32_t m_maxBlocks;
    uint32_t m_number = 0; ///< Complete blocks.
    size_t m_filled = 0; ///< Bytes in the incomplete block.
    PrefixBlocks m_blocks;
};

/// The sampled blocks of a whole prompt; empty if it is shorter than a block.
PrefixBlocks prefixBlocks(std::string_view prompt);

/// Name of a block in cache events: its hash as 16 hexadecimal digits.
std::string blockName(uint64_t hash);
/// The hash of a block name; ProtocolError if it is not a hexadecimal number of 64 bits.
Result<uint64_t> parseBlockName(std::string_view name);

/// Key that is equal for requests with a common prefix, so that they are sent to the same endpoint:
/// the hash of the last sampled block among the first @p maxBlocks blocks. 0 for prompts shorter
/// than a block.
uint64_t affinityKey(const PrefixBlocks &blocks, uint32_t maxBlocks = 4);

/// Rendezvous hashing score of an endpoint for an affinity key; the highest score is preferred.
uint64_t affinityScore(uint64_t key, const EndpointId &endpoint);

/// Estimated content of one engine's prefix cache: block hashes with LRU eviction.
struct PrefixIndex {
    std::list<uint64_t> m_lruOrder; ///< Most recently used first.
    std::unordered_map<uint64_t, std::list<uint64_t>::iterator> m_entries;
    size_t m_capacity = 8'192; ///< In blocks; see adjustCapacity().
};

/// Estimated number of tokens of the prompt's prefix that are cached.
uint64_t cachedTokens(const PrefixIndex &index, const PrefixBlocks &blocks);
/// Adds a block as the most recently used one; evicts the least recently used one if full.
void insertBlock(PrefixIndex &index, uint64_t hash);
void eraseBlock(PrefixIndex &index, uint64_t hash);
/// Adds the blocks of a granted prompt. It is prefilled before prompts that are granted later.
void notePrompt(PrefixIndex &index, const PrefixBlocks &blocks);
/// Adjusts the capacity after an answer. @p expected, @p reported: cached tokens of the prompt, as
/// estimated and as reported by the engine. If fewer tokens were cached than expected, the engine
/// has evicted blocks unnoticed, so the capacity is reduced; otherwise it grows slowly when full.
void adjustCapacity(PrefixIndex &index, uint64_t expected, uint64_t reported);
/// Removes all blocks, for example after a restart of the engine. The capacity stays.
void clearIndex(PrefixIndex &index);

} // namespace stackquay
