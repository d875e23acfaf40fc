/// Reads and caches the head of one claim bucket, with an index of the keys in its segments.
/// Internal.
#pragma once

#include <map>

#include "store/claim.h"

namespace stackquay {

class ClaimReader
{
public:
    ClaimReader(ObjectApi &objects, size_t bucket);

    /// Returns the cached head; reads it if it is not cached, and indexes segments that are new.
    /// NotFound if a segment was removed meanwhile: call invalidate() and read again.
    Result<ClaimBucket> read();
    /// Drops the cached head, so that the next read() loads it from the store.
    void invalidate() { m_head.reset(); }
    /// Caches a head that was just written. @p archived: the claims of the segment that was added,
    /// if any.
    void cacheWritten(ClaimBucket head, const std::vector<Claim> &archived);
    /// Whether the head was read or written since the last endBatch(), so that it is not older than
    /// the current batch.
    bool fresh() const { return m_fresh; }
    void endBatch() { m_fresh = false; }
    /// The newest claim of the key in the segments of the cached head, if there is one. To be
    /// called after read().
    Result<std::optional<Claim>> findArchived(const std::string &keyHash);

private:
    /// The first 64 bits of each key hash in a segment, sorted. 8 bytes per claim; a match has to
    /// be checked against the segment.
    using KeyIndex = std::vector<uint64_t>;

    Status loadHead();
    Status loadIndexes();

    ObjectApi &m_objects;
    size_t m_bucket;
    std::optional<ClaimBucket> m_head;
    std::map<std::string, KeyIndex> m_indexes; ///< By the object key of the segment.
    bool m_fresh = false;
};

} // namespace stackquay
