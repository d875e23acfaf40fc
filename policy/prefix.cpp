#include "policy/prefix.h"

#include <algorithm>
#include <bit>
#include <charconv>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t MinIndexCapacity = 256;
constexpr size_t MaxIndexCapacity = 32'768;

} // namespace

bool isSampledBlock(uint32_t number)
{
    constexpr int SamplesPerDoublingLog2 = 4;
    const int log = std::bit_width(number) - 1;
    if (log <= SamplesPerDoublingLog2)
        return number != 0;
    return number % (1u << (log - SamplesPerDoublingLog2)) == 0;
}

PrefixHasher::PrefixHasher(uint32_t maxBlocks)
    : m_state(XXH3_createState())
    , m_maxBlocks(maxBlocks)
{
    if (!m_state)
        std::abort();
    XXH3_64bits_reset(m_state.get());
}

void PrefixHasher::update(std::string_view piece)
{
    while (!piece.empty() && m_number < m_maxBlocks) {
        const auto part = piece.substr(0, PrefixBlockBytes - m_filled);
        XXH3_64bits_update(m_state.get(), part.data(), part.size());
        piece.remove_prefix(part.size());
        m_filled += part.size();
        if (m_filled < PrefixBlockBytes)
            return;
        m_filled = 0;
        ++m_number;
        if (isSampledBlock(m_number))
            m_blocks.push_back({ m_number, XXH3_64bits_digest(m_state.get()) });
    }
}

PrefixBlocks prefixBlocks(std::string_view prompt)
{
    PrefixHasher hasher;
    hasher.update(prompt);
    return hasher.blocks();
}

std::string blockName(uint64_t hash)
{
    return fmt::format("{:016x}", hash);
}

Result<uint64_t> parseBlockName(std::string_view name)
{
    uint64_t hash = 0;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), hash, 16);
    if (name.empty() || error != std::errc() || end != name.data() + name.size())
        return makeError(ErrorCode::ProtocolError, fmt::format("bad block name '{}'", name));
    return hash;
}

uint64_t affinityKey(const PrefixBlocks &blocks, uint32_t maxBlocks)
{
    uint64_t key = 0;
    for (const auto &block : blocks) {
        if (block.m_number > maxBlocks)
            break;
        key = block.m_hash;
    }
    return key;
}

uint64_t affinityScore(uint64_t key, const EndpointId &endpoint)
{
    return stableHash(endpoint.str(), key);
}

uint64_t cachedTokens(const PrefixIndex &index, const PrefixBlocks &blocks)
{
    const auto isCached = [&](const PrefixBlock &block) {
        return index.m_entries.contains(block.m_hash);
    };
    // The cached part of a prompt is a prefix, and usually a short one: exponential search from the
    // start, then binary search within the last step.
    size_t step = 1;
    while (step <= blocks.size() && isCached(blocks[step - 1]))
        step *= 2;
    const auto first = blocks.begin() + static_cast<ptrdiff_t>(step / 2);
    const auto last = blocks.begin() + static_cast<ptrdiff_t>(std::min(step, blocks.size()));
    const auto border = std::partition_point(first, last, isCached);
    return border == blocks.begin() ? 0 : std::prev(border)->m_number * PrefixBlockTokens;
}

void insertBlock(PrefixIndex &index, uint64_t hash)
{
    const auto known = index.m_entries.find(hash);
    if (known != index.m_entries.end()) {
        index.m_lruOrder.splice(index.m_lruOrder.begin(), index.m_lruOrder, known->second);
        return;
    }
    if (index.m_entries.size() >= index.m_capacity && !index.m_lruOrder.empty())
        eraseBlock(index, index.m_lruOrder.back());
    index.m_lruOrder.push_front(hash);
    index.m_entries.emplace(hash, index.m_lruOrder.begin());
}

void eraseBlock(PrefixIndex &index, uint64_t hash)
{
    const auto known = index.m_entries.find(hash);
    if (known == index.m_entries.end())
        return;
    index.m_lruOrder.erase(known->second);
    index.m_entries.erase(known);
}

void notePrompt(PrefixIndex &index, const PrefixBlocks &blocks)
{
    // In reverse order, so that the start of a prompt is evicted after its end.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
        insertBlock(index, block->m_hash);
}

void adjustCapacity(PrefixIndex &index, uint64_t expected, uint64_t reported)
{
    const size_t size = index.m_entries.size();
    if (reported >= expected) {
        if (size >= index.m_capacity)
            index.m_capacity = std::min(MaxIndexCapacity, index.m_capacity + 1);
        return;
    }
    const size_t shrunk = std::min(size, index.m_capacity) / 64 * 63;
    index.m_capacity = std::max(MinIndexCapacity, shrunk);
    while (index.m_entries.size() > index.m_capacity)
        eraseBlock(index, index.m_lruOrder.back());
}

void clearIndex(PrefixIndex &index)
{
    index.m_entries.clear();
    index.m_lruOrder.clear();
}

} // namespace stackquay
