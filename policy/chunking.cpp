#include "policy/chunking.h"

#include <algorithm>

#include "policy/prefix.h"

namespace stackquay {

uint64_t chunkTokens(const CostModel &model, const PrefillWork &work, Duration bound)
{
    constexpr uint64_t MaxBlocks = 8'192;
    uint64_t low = MinChunkTokens / PrefixBlockTokens;
    uint64_t high = MaxBlocks;
    while (low < high) {
        const uint64_t middle = (low + high + 1) / 2;
        PrefillWork chunk = work;
        chunk.m_uncachedTokens = middle * PrefixBlockTokens;
        if (predictPrefill(model, chunk) <= bound)
            low = middle;
        else
            high = middle - 1;
    }
    return low * PrefixBlockTokens;
}

int enginePriority(int priority, bool isLong)
{
    return 2 * priority + (isLong ? 0 : 1);
}

} // namespace stackquay
