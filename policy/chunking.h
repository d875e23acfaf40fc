/// How a long prefill is cut into chunks, so that a short request waits for a chunk at most.
#pragma once

#include "policy/cost_model.h"

namespace stackquay {

/// Fewer tokens than this are never sent alone: the fixed cost of a call would dominate.
inline constexpr uint64_t MinChunkTokens = 512;

/// The most tokens, in whole prefix blocks, that the endpoint is predicted to prefill within
/// @p bound after @p work's cached tokens and beside its batch. At least MinChunkTokens.
uint64_t chunkTokens(const CostModel &model, const PrefillWork &work, Duration bound);

/// The priority that an engine is told: the caller's, and within it the short before the long, so
/// that a short request overtakes the chunks that wait.
int enginePriority(int priority, bool isLong);

} // namespace stackquay
