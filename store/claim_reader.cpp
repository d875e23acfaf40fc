#include "store/claim_reader.h"

#include <algorithm>
#include <charconv>

namespace stackquay {

namespace {

constexpr size_t IndexHexDigits = 16;
constexpr int HexBase = 16;

uint64_t indexBits(const std::string &keyHash)
{
    uint64_t bits = 0;
    const size_t size = std::min(keyHash.size(), IndexHexDigits);
    std::from_chars(keyHash.data(), keyHash.data() + size, bits, HexBase);
    return bits;
}

std::vector<uint64_t> makeIndex(const std::vector<Claim> &claims)
{
    std::vector<uint64_t> index;
    index.reserve(claims.size());
    for (const Claim &claim : claims)
        index.push_back(indexBits(claim.m_keyHash));
    std::sort(index.begin(), index.end());
    return index;
}

} // namespace

ClaimReader::ClaimReader(ObjectApi &objects, size_t bucket)
    : m_objects(objects)
    , m_bucket(bucket)
{ }

Result<ClaimBucket> ClaimReader::read()
{
    if (!m_head) {
        const Status loaded = loadHead();
        if (!loaded)
            return tl::unexpected(loaded.error());
    }
    const Status indexed = loadIndexes();
    if (!indexed)
        return tl::unexpected(indexed.error());
    return *m_head;
}

Status ClaimReader::loadHead()
{
    const auto object = m_objects.get(claimHeadKey(m_bucket));
    if (!object && object.error().m_code != ErrorCode::NotFound)
        return tl::unexpected(object.error());
    if (!object) {
        m_head.emplace();
    } else {
        auto head = parseClaimBucket(*object);
        if (!head)
            return tl::unexpected(head.error());
        m_head = std::move(*head);
    }
    m_fresh = true;
    return {};
}

Status ClaimReader::loadIndexes()
{
    std::map<std::string, KeyIndex> current;
    for (const ClaimSegment &segment : m_head->m_segments) {
        auto known = m_indexes.extract(segment.m_object);
        if (!known.empty())
            current.insert(std::move(known));
    }
    m_indexes = std::move(current);
    for (const ClaimSegment &segment : m_head->m_segments) {
        if (m_indexes.contains(segment.m_object))
            continue;
        const auto object = m_objects.get(segment.m_object);
        if (!object)
            return tl::unexpected(object.error());
        const auto claims = parseClaims(object->m_value);
        if (!claims)
            return tl::unexpected(claims.error());
        m_indexes.emplace(segment.m_object, makeIndex(*claims));
    }
    return {};
}

void ClaimReader::cacheWritten(ClaimBucket head, const std::vector<Claim> &archived)
{
    if (!archived.empty())
        m_indexes[head.m_segments.back().m_object] = makeIndex(archived);
    m_head = std::move(head);
    m_fresh = true;
}

Result<std::optional<Claim>> ClaimReader::findArchived(const std::string &keyHash)
{
    const auto &segments = m_head->m_segments;
    for (auto segment = segments.rbegin(); segment != segments.rend(); ++segment) {
        const KeyIndex &index = m_indexes[segment->m_object];
        if (!std::binary_search(index.begin(), index.end(), indexBits(keyHash)))
            continue;
        const auto object = m_objects.get(segment->m_object);
        if (!object)
            return tl::unexpected(object.error());
        const auto claims = parseClaims(object->m_value);
        if (!claims)
            return tl::unexpected(claims.error());
        const auto found =
            std::find_if(claims->begin(), claims->end(),
                         [&keyHash](const Claim &claim) { return claim.m_keyHash == keyHash; });
        if (found != claims->end())
            return *found;
    }
    return std::nullopt;
}

} // namespace stackquay
