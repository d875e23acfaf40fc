#include "standin/kv_memory.h"

#include <algorithm>

namespace stackquay::standin {

namespace {

constexpr size_t EventsKept = 65536;

size_t handleRest(const KvHandle &handle)
{
    const size_t taken = handle.m_blocks.size() * BlockTokens + handle.m_private;
    return handle.m_tokens - std::min(handle.m_tokens, taken);
}

} // namespace

size_t KvMemory::used() const
{
    size_t used = m_pinnedBlocks * BlockTokens + m_private;
    for (const auto &[id, handle] : m_handles)
        used += handleRest(handle) + handle.m_private;
    return used;
}

size_t KvMemory::unpinnedAmong(const std::vector<uint64_t> &blocks) const
{
    return static_cast<size_t>(std::count_if(blocks.begin(), blocks.end(), [this](uint64_t name) {
        const auto found = m_blocks.find(name);
        return found == m_blocks.end() || found->second.m_pins == 0;
    }));
}

bool KvMemory::take(const std::vector<uint64_t> &blocks, size_t privateTokens, TimePoint now)
{
    const size_t needed = unpinnedAmong(blocks) * BlockTokens + privateTokens;
    if (used() + needed > m_total)
        return false;
    for (const uint64_t name : blocks)
        pin(name);
    m_private += privateTokens;
    makeRoom(now);
    return true;
}

void KvMemory::giveBack(const std::vector<uint64_t> &blocks, size_t privateTokens)
{
    // The last block first, so that a prefix outlives what builds on it.
    for (auto name = blocks.rbegin(); name != blocks.rend(); ++name)
        unpin(*name);
    m_private -= privateTokens;
}

size_t KvMemory::computedBlocks(const std::vector<uint64_t> &blocks) const
{
    const auto end = std::find_if(blocks.begin(), blocks.end(), [this](uint64_t name) {
        const auto found = m_blocks.find(name);
        return found == m_blocks.end() || !found->second.m_computed;
    });
    return static_cast<size_t>(end - blocks.begin());
}

void KvMemory::markComputed(const std::vector<uint64_t> &blocks, TimePoint now)
{
    for (const uint64_t name : blocks) {
        Block &block = m_blocks[name];
        if (block.m_computed)
            continue;
        block.m_computed = true;
        record(true, name, now);
    }
}

void KvMemory::pin(uint64_t name)
{
    const auto [found, added] = m_blocks.try_emplace(name);
    Block &block = found->second;
    if (block.m_pins++ > 0)
        return;
    if (!added)
        m_unpinned.erase(block.m_place);
    ++m_pinnedBlocks;
}

void KvMemory::unpin(uint64_t name)
{
    const auto found = m_blocks.find(name);
    Block &block = found->second;
    if (--block.m_pins > 0)
        return;
    --m_pinnedBlocks;
    if (!block.m_computed) {
        m_blocks.erase(found);
        return;
    }
    block.m_place = m_unpinned.insert(m_unpinned.end(), name);
}

void KvMemory::makeRoom(TimePoint now)
{
    const size_t inUse = used();
    while (!m_unpinned.empty() && inUse + cachedTokens() > m_total) {
        const uint64_t name = m_unpinned.front();
        m_unpinned.pop_front();
        m_blocks.erase(name);
        record(false, name, now);
    }
}

void KvMemory::record(bool stored, uint64_t block, TimePoint now)
{
    m_events.push_back({ m_sequence++, stored, block, now });
    if (m_events.size() > EventsKept)
        m_events.pop_front();
}

KvHandle *KvMemory::addHandle(KvHandle handle, Millis ttl, TimePoint now)
{
    if (used() + handle.m_tokens > m_total)
        return nullptr;
    if (ttl > Millis(0))
        handle.m_expiresAt = now + ttl;
    const std::string id = handle.m_id;
    KvHandle &added = m_handles[id] = std::move(handle);
    makeRoom(now);
    return &added;
}

KvHandle *KvMemory::findHandle(const std::string &id)
{
    const auto found = m_handles.find(id);
    return found == m_handles.end() ? nullptr : &found->second;
}

bool KvMemory::takeInHandle(KvHandle &handle, const std::vector<uint64_t> &blocks,
                            size_t privateTokens, TimePoint now)
{
    std::vector<uint64_t> added;
    for (const uint64_t name : blocks) {
        if (std::find(handle.m_blocks.begin(), handle.m_blocks.end(), name)
            == handle.m_blocks.end())
            added.push_back(name);
    }
    if (added.size() * BlockTokens + privateTokens > handleRest(handle))
        return false;
    for (const uint64_t name : added)
        pin(name);
    handle.m_blocks.insert(handle.m_blocks.end(), added.begin(), added.end());
    handle.m_private += privateTokens;
    makeRoom(now);
    return true;
}

bool KvMemory::removeHandle(const std::string &id)
{
    const auto found = m_handles.find(id);
    if (found == m_handles.end())
        return false;
    giveBack(found->second.m_blocks, 0);
    m_handles.erase(found);
    return true;
}

std::vector<std::string> KvMemory::expiredHandles(TimePoint now) const
{
    std::vector<std::string> expired;
    for (const auto &[id, handle] : m_handles) {
        if (handle.m_expiresAt && *handle.m_expiresAt <= now)
            expired.push_back(id);
    }
    return expired;
}

} // namespace stackquay::standin
