/// KV memory of the engine stand-in: cached prefix blocks, private tokens of streams, and handles.
///
/// In use are the blocks that a stream or handle pins, the streams' private tokens, and what the
/// handles have reserved beyond their blocks. Blocks that nobody pins stay cached until their room
/// is needed, the least recently used first; they don't count as used.
#pragma once

#include <deque>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

#include "standin/engine_prompt.h"

namespace stackquay::standin {

/// A named reservation. Its blocks and private tokens come out of what it reserved.
struct KvHandle {
    std::string m_id;
    std::string m_owner; ///< "vm:incarnation".
    std::string m_attempt;
    size_t m_tokens = 0;
    std::optional<TimePoint> m_expiresAt;
    /// Tokens before this are held by other engines of a span.
    size_t m_covered = 0;
    uint64_t m_coveredName = 0; ///< Name of the block that ends at m_covered.
    std::vector<uint64_t> m_blocks; ///< Pinned by it, in prompt order from m_covered on.
    size_t m_private = 0; ///< Taken by streams that run in it.
};

struct CacheEvent {
    uint64_t m_sequence = 0;
    bool m_stored = false; ///< Else evicted.
    uint64_t m_block = 0;
    TimePoint m_at;
};

class KvMemory
{
public:
    explicit KvMemory(size_t totalTokens)
        : m_total(totalTokens)
    { }

    size_t total() const { return m_total; }
    size_t used() const;
    /// Tokens in cached blocks that nobody pins.
    size_t cachedTokens() const { return m_unpinned.size() * BlockTokens; }

    /// Pins @p blocks and takes @p privateTokens, evicting others if needed; false if they don't
    /// fit.
    bool take(const std::vector<uint64_t> &blocks, size_t privateTokens, TimePoint now);
    void giveBack(const std::vector<uint64_t> &blocks, size_t privateTokens);
    /// How many of @p blocks, from the first on, have been computed.
    size_t computedBlocks(const std::vector<uint64_t> &blocks) const;
    void markComputed(const std::vector<uint64_t> &blocks, TimePoint now);

    /// Reserves memory; none if it doesn't fit. @p ttl zero is without expiry.
    KvHandle *addHandle(KvHandle handle, Millis ttl, TimePoint now);
    KvHandle *findHandle(const std::string &id);
    /// Pins @p blocks within the handle's reservation and takes @p privateTokens of it.
    bool takeInHandle(KvHandle &handle, const std::vector<uint64_t> &blocks, size_t privateTokens,
                      TimePoint now);
    bool removeHandle(const std::string &id);
    /// Ids of the handles whose time is over.
    std::vector<std::string> expiredHandles(TimePoint now) const;
    const std::map<std::string, KvHandle> &handles() const { return m_handles; }

    const std::deque<CacheEvent> &events() const { return m_events; }

private:
    struct Block {
        size_t m_pins = 0;
        bool m_computed = false;
        std::list<uint64_t>::iterator m_place; ///< In m_unpinned, while nobody pins it.
    };

    size_t unpinnedAmong(const std::vector<uint64_t> &blocks) const;
    void pin(uint64_t name);
    void unpin(uint64_t name);
    void makeRoom(TimePoint now);
    void record(bool stored, uint64_t block, TimePoint now);

    size_t m_total;
    size_t m_pinnedBlocks = 0;
    size_t m_private = 0;
    std::unordered_map<uint64_t, Block> m_blocks;
    std::list<uint64_t> m_unpinned; ///< Least recently used first.
    std::map<std::string, KvHandle> m_handles;
    std::deque<CacheEvent> m_events;
    uint64_t m_sequence = 0;
};

} // namespace stackquay::standin
