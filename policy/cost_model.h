/// What an engine's steps cost, learned online for each endpoint from observed times.
#pragma once

#include <cstdint>
#include <span>
#include <string>

#include "core/core.h"
#include "policy/least_squares.h"

namespace stackquay {

/// The work of one prefill.
struct PrefillWork {
    uint64_t m_uncachedTokens = 0; ///< Tokens to prefill.
    uint64_t m_cachedTokens = 0; ///< Tokens before them that are cached.
    uint32_t m_batch = 0; ///< Requests that decode on the engine meanwhile.
};

/// What lies ahead of a new request on an endpoint.
struct EndpointQueue {
    Duration m_prefillAhead{}; ///< Predicted time of prefills granted before, less what has passed.
    uint32_t m_batch = 0; ///< Requests that decode.
};

/// Features of a prefill: constant, tokens, tokens x context, tokens x batch. Times in
/// microseconds. Of a decode step: constant, batch.
struct CostModel {
    std::string m_version; ///< The model's version that the samples belong to.
    LeastSquares<4> m_prefill;
    LeastSquares<2> m_decode;
};

/// A model for an endpoint without samples: the mean of its siblings, which serve the same model
/// and version, weighed by their samples, or a wide default. Samples soon replace it.
CostModel coldStartCostModel(std::string version, std::span<const CostModel> siblings = {});

/// Starts again when the endpoint serves another version. Returns whether it did.
bool resetForVersion(CostModel &model, const std::string &version,
                     std::span<const CostModel> siblings = {});

/// Notes that @p work took @p taken from its start on the engine to the first token.
void observePrefill(CostModel &model, const PrefillWork &work, Duration taken);
/// Notes the time of one decode step (one token) with @p batch requests decoding.
void observeDecodeStep(CostModel &model, uint32_t batch, Duration taken);

Duration predictPrefill(const CostModel &model, const PrefillWork &work);
Duration predictDecodeStep(const CostModel &model, uint32_t batch);
/// Time to first token: the queue ahead, the own prefill beside the decoding batch, one step.
Duration predictTtft(const CostModel &model, const EndpointQueue &queue, uint64_t uncachedTokens,
                     uint64_t cachedTokens = 0);

} // namespace stackquay
