/// Predicts the time of an engine's prefills and decode steps. Each endpoint has a linear model
/// that is fitted online to observed times.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/core.h"
#include "policy/least_squares.h"

namespace stackquay {

/// Size of one prefill.
struct PrefillWork {
    uint64_t m_uncachedTokens = 0; ///< Prompt tokens to prefill.
    uint64_t m_cachedTokens = 0; ///< Preceding tokens whose KV cache is reused.
    uint32_t m_batch = 0; ///< Requests decoding on the engine at the same time.
};

/// Work on an endpoint that a new request waits for or shares the engine with.
struct EndpointQueue {
    /// Predicted time of the prefills granted earlier, minus the time they have already run.
    Duration m_prefillAhead{};
    uint32_t m_batch = 0; ///< Requests that are decoding.
};

/// Linear models of one endpoint; they predict microseconds.
struct CostModel {
    std::string m_version; ///< Version of the served model that the samples belong to.
    LeastSquares<4> m_prefill; ///< Features: constant, tokens, tokens x context, tokens x batch.
    LeastSquares<2> m_decode; ///< Features: constant, batch.
};

/// Initial model of an endpoint that has no samples: the mean of those @p siblings that serve
/// @p version, weighted by their number of samples, or else a default with a large uncertainty. A
/// few samples replace it.
CostModel coldStartCostModel(std::string version, std::span<const CostModel> siblings = {});

/// Replaces @p model by a cold start if its endpoint now serves another @p version. Returns whether
/// it did.
bool resetForVersion(CostModel &model, const std::string &version,
                     std::span<const CostModel> siblings = {});

/// Adds a sample: @p work took @p taken from its start on the engine to the first token. Ignored if
/// there was nothing to prefill or @p taken is negative.
void observePrefill(CostModel &model, const PrefillWork &work, Duration taken);
/// Adds a sample: one decode step (one token for each request) took @p taken with @p batch requests
/// decoding. Ignored if @p batch is zero or @p taken is negative.
void observeDecodeStep(CostModel &model, uint32_t batch, Duration taken);

Duration predictPrefill(const CostModel &model, const PrefillWork &work);
Duration predictDecodeStep(const CostModel &model, uint32_t batch);
/// Time to first token: the prefills ahead, the request's own prefill beside the decoding batch,
/// and one decode step.
Duration predictTtft(const CostModel &model, const EndpointQueue &queue, uint64_t uncachedTokens,
                     uint64_t cachedTokens = 0);

} // namespace stackquay
