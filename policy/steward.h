/// The scheduler of one shard. The steward is the VM that grants requests places on the shard's
/// endpoints: it keeps the ledgers of the endpoints and the queue of waiting requests. Functions
/// take plain structs and return decisions; the caller sends them to the holders.
///
/// Order of waiting requests: priority, then the customer's fair share, then the earliest deadline
/// with aging (FairQueue). A request that fits on no endpoint now does not block those behind it.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/choose_endpoint.h"
#include "policy/deadline.h"
#include "policy/fair_queue.h"
#include "policy/long_set.h"
#include "policy/outcome.h"

namespace stackquay {

struct StewardSettings {
    Millis m_grantTtl{ 2'000 }; ///< A grant that is not started within this time expires.
    Millis m_refusalPause{ 200 }; ///< No grants on an endpoint after it refused a request.
    EndpointCapacity m_capacity{
        0, 64, 1, 0, 3, Millis(50)
    }; ///< Initial capacity of each endpoint.
    Millis m_reserveMemoryAfter{ 1'000 }; ///< Wait for memory before one endpoint is reserved.
    uint32_t m_maxWaitingVisited = 1'024; ///< Waiting requests examined for each grant.
    FairQueueSettings m_queue;
    DeadlineSettings m_deadlines;
    LongSetSettings m_longSet;
    EjectionSettings m_ejection;
};

/// A VM's request for a grant on one of the endpoints.
struct GrantRequest {
    RequestId m_request;
    AttemptId m_attempt;
    VmId m_holder; ///< The requesting VM.
    CustomerId m_customer;
    ModelId m_model;
    int m_priority = 0;
    double m_weight = 1; ///< Customer::m_share.
    RequestNeed m_need;
    std::vector<EndpointId> m_excluded; ///< Endpoints of earlier attempts.
    bool m_mayWait = true; ///< False: answer Busy instead of queueing it.
    TimePoint m_arrived;
    TimePoint m_deadline;
};

enum class GrantAnswer {
    Granted,
    Waiting, ///< Queued; another decision will follow.
    Busy, ///< Would have to wait, but may not. Not queued.
    Refused, ///< Final. Not queued.
};

struct GrantDecision {
    RequestId m_request;
    VmId m_holder; ///< Receiver of the decision.
    GrantAnswer m_answer = GrantAnswer::Refused;
    EndpointId m_endpoint; ///< Granted only, like the next three members.
    Grant m_grant;
    uint64_t m_chunkTokens = 0; ///< Tokens of each prefill chunk; 0: unchunked.
    Duration m_predictedTtft{};
    Duration m_predictedWait{}; ///< Waiting and Busy.
    Refusal m_refusal; ///< Refused only.
};

/// How an attempt at an endpoint ended.
enum class AttemptEnd {
    Complete,
    Failed, ///< Fault of the endpoint: connection loss, error, timeout.
    Cancelled, ///< By the caller or the deadline.
    NoMemory, ///< This and the following: refused by the endpoint.
    QueueFull,
    Draining,
    ModelNotLoaded,
};

/// Measurements of an attempt by its holder; zero if unknown.
struct AttemptReport {
    AttemptEnd m_end = AttemptEnd::Complete;
    uint64_t m_cachedTokens = 0;
    Duration m_prefill{}; ///< Time of the prefill, without waiting in the engine's queue.
    Duration m_decode{}; ///< From the first token to the last.
    uint64_t m_outputTokens = 0;
};

/// The steward's state of one endpoint.
struct StewardEndpoint {
    EndpointLedger m_ledger;
    CostModel m_cost;
    PrefixIndex m_prefixes;
    EndpointHealth m_health;
    std::vector<ModelId> m_models; ///< Models that it serves.
    std::vector<ModelId> m_longModels; ///< Models whose long prompts it accepts.
    bool m_draining = false;
    TimePoint m_pausedUntil; ///< No grants before this time, after a refusal.
};

/// The steward's state of one model.
struct StewardModel {
    RoutingObjective m_objective = RoutingObjective::ShortSlowdown;
    LongSet m_longSet;
    uint32_t m_engines = 0; ///< Usable endpoints that serve it, as of the last update.
    uint32_t m_longEngines = 0; ///< How many of these accept long prompts.
    double m_outputRatio = 0.5; ///< Moving average of output tokens / the upper limit.
};

/// How a prefill will run. Requests of one model and kind wait for the same resources.
enum class PrefillKind {
    Unchunked,
    Chunked,
    Long, ///< Only on engines that accept long prompts.
};

/// A queued request.
struct WaitingGrant {
    GrantRequest m_request;
    PrefillKind m_kind = PrefillKind::Unchunked;
    double m_longSeconds = 0; ///< Predicted time of a long prefill; 0 for others.
};

/// An endpoint that accepts no other request until the reserved one fits.
struct MemoryReservation {
    EndpointId m_endpoint;
    RequestId m_request;
};

struct Steward {
    StewardSettings m_settings;
    std::string m_idPrefix; ///< VM and incarnation; makes grant ids unique.
    uint64_t m_nextGrant = 0;
    std::map<EndpointId, StewardEndpoint> m_endpoints;
    std::map<ModelId, StewardModel> m_models;
    std::unordered_map<GrantId, EndpointId> m_grants; ///< Live grants of all endpoints.
    std::unordered_map<RequestId, WaitingGrant> m_waiting;
    FairQueue m_queue;
    std::optional<MemoryReservation> m_reservation;
};

/// A steward without endpoints. @p idPrefix must differ between processes.
Steward makeSteward(std::string idPrefix, const StewardSettings &settings = {});

/// Sets the routing objective of a model, as declared in the configuration.
void setObjective(Steward &steward, const ModelId &model, RoutingObjective objective);

/// Properties of an endpoint, as reported by itself or configured.
struct EndpointFacts {
    EndpointId m_id;
    std::vector<ModelId> m_models;
    std::string m_version; ///< Version of its models; a change resets the cost model.
    uint64_t m_memoryTokens = 0; ///< Capacity of its KV cache; 0: unknown.
    bool m_draining = false;
};

/// Adds or updates an endpoint. Returns decisions on waiting requests, as expire() does.
std::vector<GrantDecision> updateEndpoint(Steward &steward, const EndpointFacts &facts,
                                          TimePoint now);

/// Result of the removal of an endpoint: its grants, which are revoked, and decisions on waiting
/// requests.
struct EndpointRemoval {
    std::vector<Grant> m_revoked;
    std::vector<GrantDecision> m_decisions;
};
/// Removes an endpoint. The result is empty if it is unknown.
EndpointRemoval dropEndpoint(Steward &steward, const EndpointId &endpoint, TimePoint now);

/// Decides on a request. The first decision is about this request; the others are about waiting
/// requests that were granted before it or displaced by it. A request that waits already stays
/// queued.
std::vector<GrantDecision> requestGrant(Steward &steward, const GrantRequest &request,
                                        TimePoint now, RandomEngine &random);
/// Removes a waiting request from the queue. False if it does not wait.
bool cancelWaiting(Steward &steward, const RequestId &request);

/// Records that the holder started the request. False if the grant expired or was revoked: the
/// holder requests a new one, or adoptGrant() is called if the request was sent already.
bool noteStarted(Steward &steward, const GrantId &grant, TimePoint now, TimePoint expiry);
/// Adds a grant of an earlier steward whose request is still in flight. False if the endpoint is
/// unknown or the grant is known already.
bool adoptGrant(Steward &steward, const EndpointId &endpoint, const Grant &grant, TimePoint now);
/// Records that a chunk is done. @p prefilledTokens: tokens of the prompt prefilled so far, cached
/// ones included. Returns the tokens of the next chunk; 0 if the grant is unknown.
uint64_t noteChunkDone(Steward &steward, const GrantId &grant, uint64_t prefilledTokens,
                       TimePoint now);
/// Records a heartbeat of the holder, which extends the expiry. False if the grant is unknown.
bool noteHeartbeat(Steward &steward, const GrantId &grant, TimePoint expiry);
/// Records the first token. Returns grants for waiting requests.
std::vector<GrantDecision> noteFirstToken(Steward &steward, const GrantId &grant, TimePoint now);
/// Records the end of an attempt, with any result, and releases its grant. Idempotent. Returns
/// grants for waiting requests.
std::vector<GrantDecision> noteFinished(Steward &steward, const GrantId &grant,
                                        const AttemptReport &report, TimePoint now);
/// Records a cache event of an engine: @p block, a hash as in PrefixBlock, was stored or evicted.
void noteCacheEvent(Steward &steward, const EndpointId &endpoint, uint64_t block, bool stored);

/// Grants waiting requests that fit now. The functions that free capacity call it themselves.
std::vector<GrantDecision> grantWaiting(Steward &steward, TimePoint now);

/// Releases expired grants, refuses waiting requests that can no longer meet their deadline, and
/// grants others. Call at least every few hundred milliseconds.
std::vector<GrantDecision> expire(Steward &steward, TimePoint now);

/// Predicted queueing time of a new request of this customer and priority. @p weight: as
/// GrantRequest::m_weight.
Duration predictedWait(const Steward &steward, const CustomerId &customer, int priority,
                       double weight);

} // namespace stackquay
