/// Places single requests on the steward's endpoints. Internal to the policy library.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/steward.h"

namespace stackquay::detail {

bool contains(const auto &range, const auto &value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

/// Estimated cost of a request.
struct StewardEstimate {
    Duration m_prefill = Duration::max();
    Duration m_run{}; ///< Prefill and decode.
    bool m_long = false; ///< isLongPrefill() holds for the uncached tokens.
};

/// An endpoint and the predictions for the request there.
struct StewardPlacement {
    EndpointId m_endpoint;
    StewardChoice m_choice;
};

/// Whether the endpoint gets requests: not draining, ejected or paused.
bool isUsable(const StewardEndpoint &endpoint, TimePoint now);
/// The parameters for the objective of the model.
StewardWeights weightsOf(const Steward &steward, const ModelId &model);

/// All endpoints that serve the request's model, including unusable ones.
std::vector<StewardCandidate> candidatesFor(const Steward &steward, const GrantRequest &request,
                                            TimePoint now);
/// Predicted time from the first token to the last.
Duration predictDecode(const Steward &steward, const GrantRequest &request,
                       const StewardEndpoint &endpoint);
/// Estimate for the endpoint with the fastest prefill, regardless of its queue. m_prefill is
/// Duration::max() if no endpoint serves the model.
StewardEstimate estimate(const Steward &steward, const GrantRequest &request);

/// The endpoint that the request is to be placed on, or the reason why it fits on none now.
tl::expected<StewardPlacement, LedgerRefusal> tryPlace(const Steward &steward,
                                                       const GrantRequest &request, TimePoint now);
/// Creates the grant, adds it to the endpoint's ledger and returns the decision.
GrantDecision grantChoice(Steward &steward, const GrantRequest &request,
                          const EndpointId &endpointId, const StewardChoice &choice, TimePoint now);

} // namespace stackquay::detail
