/// Chooses the endpoint for one attempt of a request.
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
    double m_weight = 1; ///< The customer's weight in fair scheduling.
    RequestNeed m_need;
    TimePoint m_deadline;
    std::vector<EndpointId> m_excluded; ///< Endpoints that have failed or refused the request.
    TimePoint m_arrived;
};

/// A grant issued by a steward.
struct HeldGrant {
    GrantId m_id;
    Address m_steward;
    uint64_t m_cachedTokens = 0; ///< Prompt tokens in the engine's cache, as estimated.
};

/// Endpoint to which one attempt may be sent.
struct Placement {
    EndpointId m_endpoint;
    Address m_address;
    uint64_t m_chunkTokens = 0; ///< Max tokens of one prefill; 0: no limit.
    std::optional<HeldGrant> m_grant; ///< Empty if no steward was involved.
};

/// State of a request that waits in place(), shared with cancelPlacement().
struct PlacementWait {
    bool m_cancelled = false;
    std::optional<Address> m_steward; ///< The steward at which the request is queued.
};

/// Chooses one of the model's endpoints by the node's routing policy. May block the fiber until the
/// request's deadline. Each placement must be passed to endPlacement().
tl::expected<Placement, Refusal> place(TrafficWorker &worker, const ModelRoute &route,
                                       const PlacementRequest &request, PlacementWait &wait);
/// Cancels a wait in place(), from another fiber of the same thread.
void cancelPlacement(TrafficWorker &worker, const RequestId &request, PlacementWait &wait);
/// Ends a placement: records the endpoint's success or failure and reports the end to the steward.
void endPlacement(TrafficWorker &worker, const Placement &placement, const AttemptReport &report);
/// Reports @p step to the steward that made the grant, if there is one, without waiting for the
/// reply. @p remaining is the time until the request's deadline.
void reportGrantStep(TrafficWorker &worker, const Placement &placement, GrantStep step,
                     Duration remaining);
/// Reports a finished prefill chunk to the steward. Returns the max tokens of the next chunk, which
/// is that of the last one if there is no steward or it does not reply.
uint64_t nextChunk(TrafficWorker &worker, const Placement &placement, uint64_t prefilledTokens);

} // namespace stackquay
