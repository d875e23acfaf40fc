/// One steward's state: the endpoints that it keeps account of, and the requests that wait for
/// them. Plain structs in, decisions out; whoever drives it sends the answers.
///
/// Order of waiting: priority, then the customer's fair share, then the earliest deadline with
/// aging (FairQueue). A request that fits on no endpoint now lets those behind it pass.
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
    Millis m_grantTtl{ 2'000 }; ///< A grant that is not started within this is void.
    Millis m_refusalPause{ 200 }; ///< No grants to an endpoint that just refused for want of room.
    EndpointCapacity m_capacity{
        0, 64, 1, 0, 3, Millis(50)
    }; ///< Until an endpoint's own is known.
    Millis m_reserveAfter{ 1'000 }; ///< Waiting for memory before an endpoint is kept for it.
    uint32_t m_maxVisited = 1'024; ///< Waiting requests looked at for each decision.
    FairQueueSettings m_queue;
    DeadlineSettings m_deadlines;
    LongSetSettings m_longSet;
    EjectionSettings m_ejection;
};

/// A node's request for a place on some endpoint.
struct GrantRequest {
    RequestId m_request;
    AttemptId m_attempt;
    VmId m_holder;
    CustomerId m_customer;
    ModelId m_model;
    int m_priority = 0;
    double m_weight = 1; ///< Customer::m_share.
    RequestNeed m_need;
    std::vector<EndpointId> m_excluded; ///< Tried before.
    bool m_mayWait = true; ///< Otherwise answered Busy instead of waiting.
    TimePoint m_arrived;
    TimePoint m_deadline;
};

enum class GrantAnswer {
    Granted,
    Waiting, ///< A later decision will follow.
    Busy, ///< Would have to wait and may not; nothing is kept.
    Refused, ///< Final; nothing is kept.
};

struct GrantDecision {
    RequestId m_request;
    VmId m_holder; ///< Whom to tell.
    GrantAnswer m_answer = GrantAnswer::Refused;
    EndpointId m_endpoint; ///< Granted only, as are the next three.
    Grant m_grant;
    uint64_t m_chunkTokens = 0; ///< Prefill in chunks of this many tokens; 0: all at once.
    Duration m_predictedTtft{};
    Duration m_predictedWait{}; ///< Waiting and Busy.
    Refusal m_refusal; ///< Refused only.
};

/// How an attempt at an endpoint ended.
enum class AttemptEnd {
    Complete,
    Failed, ///< The endpoint is to blame: cut, error, timeout.
    Cancelled, ///< By the caller or the deadline.
    NoMemory, ///< The endpoint's own refusals.
    QueueFull,
    Draining,
    ModelNotLoaded,
};

/// What the node saw of the attempt; zero where it saw nothing.
struct AttemptReport {
    AttemptEnd m_end = AttemptEnd::Complete;
    uint64_t m_cachedTokens = 0;
    Duration m_prefill{}; ///< Time on the engine, without its queue.
    Duration m_decode{}; ///< From the first token to the last.
    uint64_t m_outputTokens = 0;
};

/// An endpoint as the steward keeps it.
struct StewardEndpoint {
    EndpointLedger m_ledger;
    CostModel m_cost;
    PrefixIndex m_prefixes;
    EndpointHealth m_health;
    std::vector<ModelId> m_models; ///< Those that it serves now.
    std::vector<ModelId> m_longModels; ///< Those whose long prompts it accepts.
    bool m_draining = false;
    TimePoint m_pausedUntil;
};

/// What the steward knows of a model over its endpoints.
struct StewardModel {
    RoutingObjective m_objective = RoutingObjective::ShortSlowdown;
    LongSet m_longSet;
    uint32_t m_engines = 0; ///< Usable ones that serve it, as of the last look.
    uint32_t m_longEngines = 0; ///< Of those, the ones that accept long prompts.
    double m_outputRatio = 0.5; ///< Mean of real to largest answer.
};

/// How a prefill is expected to go. What one waits for, all of its kind wait for.
enum class PrefillKind {
    Whole,
    Chunked,
    Long, ///< On an engine that accepts long prompts.
};

/// A request that waits.
struct WaitingGrant {
    GrantRequest m_request;
    PrefillKind m_kind = PrefillKind::Whole;
    double m_longSeconds = 0; ///< Of prefill, if it is long.
};

/// An endpoint that takes nobody else until a request fits there.
struct MemoryReservation {
    EndpointId m_endpoint;
    RequestId m_request;
};

struct Steward {
    StewardSettings m_settings;
    std::string m_idPrefix; ///< Makes the grant ids unique: VM and incarnation.
    uint64_t m_nextGrant = 0;
    std::map<EndpointId, StewardEndpoint> m_endpoints;
    std::map<ModelId, StewardModel> m_models;
    std::unordered_map<GrantId, EndpointId> m_grants;
    std::unordered_map<RequestId, WaitingGrant> m_waiting;
    FairQueue m_queue;
    std::optional<MemoryReservation> m_reservation;
};

Steward makeSteward(std::string idPrefix, const StewardSettings &settings = {});

/// Sets the objective that the intent declares for a model.
void setObjective(Steward &steward, const ModelId &model, RoutingObjective objective);

/// What the endpoint said of itself (or the intent says of it).
struct EndpointFacts {
    EndpointId m_id;
    std::vector<ModelId> m_models;
    std::string m_version; ///< Of what it serves; another one starts the cost model again.
    uint64_t m_memoryTokens = 0; ///< 0: not known.
    bool m_draining = false;
};

/// Adds or changes an endpoint. Returns grants to requests that waited.
std::vector<GrantDecision> updateEndpoint(Steward &steward, const EndpointFacts &facts,
                                          TimePoint now);

/// The grants that an endpoint's leaving makes void, and what follows for waiting requests.
struct EndpointLeft {
    std::vector<Grant> m_revoked;
    std::vector<GrantDecision> m_decisions;
};
EndpointLeft endpointLeft(Steward &steward, const EndpointId &endpoint, TimePoint now);

/// Decides on a request. The first decision is about it; others are about those it displaced.
std::vector<GrantDecision> requestGrant(Steward &steward, const GrantRequest &request,
                                        TimePoint now, RandomEngine &random);
/// The caller of a waiting request is gone. False if it does not wait.
bool cancelWaiting(Steward &steward, const RequestId &request);

/// The holder began to send. False: the grant is void, so ask again, or adopt what is sent.
bool noteStarted(Steward &steward, const GrantId &grant, TimePoint now, TimePoint expiry);
/// Enters what is in flight but unknown here: grants of an earlier steward.
bool adoptGrant(Steward &steward, const EndpointId &endpoint, const Grant &grant, TimePoint now);
/// A chunk is done with @p prefilledTokens in the cache so far. Returns the next chunk's tokens.
uint64_t noteChunkDone(Steward &steward, const GrantId &grant, uint64_t prefilledTokens,
                       TimePoint now);
/// A sign of life of the holder: moves the expiry on.
bool noteAlive(Steward &steward, const GrantId &grant, TimePoint expiry);
/// The first token came. Returns grants to requests that waited.
std::vector<GrantDecision> noteFirstToken(Steward &steward, const GrantId &grant, TimePoint now);
/// The attempt is over, in whatever way. Idempotent. Returns grants to requests that waited.
std::vector<GrantDecision> noteFinished(Steward &steward, const GrantId &grant,
                                        const AttemptReport &report, TimePoint now);
/// Cache events of an engine, by block name; @p gap: some were lost before these.
void noteCacheEvent(Steward &steward, const EndpointId &endpoint, uint64_t block, bool stored);

/// Grants to waiting requests that fit now. The other calls do it too where it is due.
std::vector<GrantDecision> grantWaiting(Steward &steward, TimePoint now);

/// Voids expired grants, refuses requests that can no longer make it, grants to others. Call at
/// least every few hundred milliseconds.
std::vector<GrantDecision> expire(Steward &steward, TimePoint now);

/// Predicted time that a new request of this customer and priority would wait.
Duration predictedWait(const Steward &steward, const CustomerId &customer, int priority,
                       double weight);

} // namespace stackquay
