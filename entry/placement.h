/// Choice of the endpoint for one attempt.
#pragma once

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
};

/// An endpoint that may be sent one attempt.
struct Placement {
    EndpointId m_endpoint;
    Address m_address;
    uint64_t m_chunkTokens = 0; ///< Most tokens to prefill at once; 0: all.
};

/// What became of the attempt, for whoever accounts for the endpoint.
enum class PlacementEnd {
    Complete,
    NotRun, ///< The endpoint refused.
    Failed, ///< The endpoint is to blame.
    Abandoned, ///< The caller hung up, or the deadline passed.
};

/// Chooses among the model's endpoints by the node's policy.
tl::expected<Placement, Refusal> place(TrafficWorker &worker, const ModelRoute &route,
                                       const PlacementRequest &request);
/// Ends what place() began.
void endPlacement(TrafficWorker &worker, const Placement &placement, PlacementEnd end);

} // namespace stackquay
