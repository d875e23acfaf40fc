/// Placing one request on the steward's endpoints. Internal to the policy library.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/steward.h"

namespace stackquay::detail {

bool contains(const auto &range, const auto &value)
{
    return std::find(range.begin(), range.end(), value) != range.end();
}

/// What a request is expected to take.
struct StewardEstimate {
    Duration m_prefill = Duration::max();
    Duration m_run{}; ///< Prefill and answer.
    bool m_long = false;
};

/// An endpoint and what is predicted for the request there.
struct StewardPlacement {
    EndpointId m_endpoint;
    StewardChoice m_choice;
};

bool isUsable(const StewardEndpoint &endpoint, TimePoint now);
StewardWeights weightsOf(const Steward &steward, const ModelId &model);

/// Every endpoint that serves the request's model.
std::vector<StewardCandidate> candidatesFor(const Steward &steward, const GrantRequest &request,
                                            TimePoint now);
/// Time from the first token to the last.
Duration predictDecode(const Steward &steward, const GrantRequest &request,
                       const StewardEndpoint &endpoint);
/// On the endpoint that would do it fastest.
StewardEstimate estimate(const Steward &steward, const GrantRequest &request);

/// Where the request fits now, or why it does not.
tl::expected<StewardPlacement, LedgerRefusal> tryPlace(const Steward &steward,
                                                       const GrantRequest &request, TimePoint now);
/// Enters the grant into the ledger, and says so.
GrantDecision grantChoice(Steward &steward, const GrantRequest &request,
                          const EndpointId &endpointId, const StewardChoice &choice, TimePoint now);

} // namespace stackquay::detail
