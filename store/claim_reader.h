/// Reads the head of one bucket, and keeps hashes of the keys in its closed segments. Internal.
#pragma once

#include <map>

#include "store/claim.h"

namespace stackquay {

class ClaimReader
{
public:
    ClaimReader(ObjectApi &objects, size_t bucket);

    /// The head as last read or written; reads it, and segments that are new, if it is not there.
    /// NotFound if a segment went away meanwhile: forget() and read again.
    Result<ClaimBucket> read();
    /// Forgets the head, so that it is read again.
    void forget() { m_head.reset(); }
    /// Notes what was written. @p closed are the claims of the segment that was added, if any.
    void noteWritten(ClaimBucket head, const std::vector<Claim> &closed);
    /// Whether the head was read or written since the last call of endOfBatch().
    bool fresh() const { return m_fresh; }
    void endOfBatch() { m_fresh = false; }
    /// The newest record of the key in the segments of the head, if there is one.
    Result<std::optional<Claim>> findClosed(const std::string &keyHash);

private:
    /// Sorted leading bits of the key hashes of one segment: eight bytes a claim.
    using KeyIndex = std::vector<uint64_t>;

    Status loadHead();
    Status loadIndexes();

    ObjectApi &m_objects;
    size_t m_bucket;
    std::optional<ClaimBucket> m_head;
    std::map<std::string, KeyIndex> m_indexes; ///< By the segment's key.
    bool m_fresh = false;
};

} // namespace stackquay
