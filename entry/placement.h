/// Choice of the endpoint for one attempt.
#pragma once

#include "entry/grant_messages.h"
#include "entry/request_context.h"
#include "entry/traffic_worker.h"

namespace stackquay {

struct PlacementRequest {
    RequestId m_request;
    AttemptId m_attempt;
    CustomerId m_customer;
    ModelId m_model;
    int m_priority = 0;
    double m_weight = 1; ///< Of the customer's fair share.
    RequestNeed m_need;
    TimePoint m_deadline;
    std::vector<EndpointId> m_excluded; ///< Tried already.
    TimePoint m_arrived;
};

/// A grant by a steward.
struct HeldGrant {
    GrantId m_id;
    Address m_steward;
    uint64_t m_cachedTokens = 0; ///< Of the prompt, as the steward believes.
};

/// An endpoint that may be sent one attempt.
struct Placement {
    EndpointId m_endpoint;
    Address m_address;
    uint64_t m_chunkTokens = 0; ///< Most tokens to prefill at once; 0: all.
    std::optional<HeldGrant> m_grant;
};

/// A request that waits for a placement; shared with whoever may give it up.
struct PlacementWait {
    bool m_cancelled = false;
    std::optional<Address> m_steward; ///< Where it waits now.
};

/// Chooses among the model's endpoints by the node's policy; may wait until the deadline.
tl::expected<Placement, Refusal> place(TrafficWorker &worker, const ModelRoute &route,
                                       const PlacementRequest &request, PlacementWait &wait);
/// Gives up waiting in place(), from another fiber of the thread.
void cancelPlacement(TrafficWorker &worker, const RequestId &request, PlacementWait &wait);
/// Ends what place() began.
void endPlacement(TrafficWorker &worker, const Placement &placement, const AttemptReport &report);
/// Tells the steward of a step, if there is one. @p left: until the request's deadline.
void notePlacement(TrafficWorker &worker, const Placement &placement, GrantStep step,
                   Duration left);
/// Tells the steward of a finished chunk. Returns how many tokens the next one may prefill.
uint64_t nextChunk(TrafficWorker &worker, const Placement &placement, uint64_t prefilledTokens);

} // namespace stackquay
