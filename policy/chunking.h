/// Chunked prefill: a long prefill is split, so that a short request waits for one chunk at most.
#pragma once

#include "policy/cost_model.h"

namespace stackquay {

/// Smallest chunk. In smaller ones the fixed cost of a call would dominate.
inline constexpr uint64_t MinChunkTokens = 512;

/// Largest chunk, in tokens, whose prefill is predicted to take at most @p bound, given the cached
/// tokens and the batch of @p work; its uncached tokens are ignored. A multiple of
/// PrefixBlockTokens, at least MinChunkTokens.
uint64_t chunkTokens(const CostModel &model, const PrefillWork &work, Duration bound);

/// The priority sent to an engine (higher first): ordered by the caller's priority, then short
/// before long prefills, so that short requests overtake waiting chunks.
int enginePriority(int priority, bool isLong);

} // namespace stackquay
