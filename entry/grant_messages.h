/// RPC messages between the node that runs a request and the steward of an endpoint's shard.
///
/// Times are sent as durations because the clocks of two VMs are not synchronized.
#pragma once

#include "peers/peers.h"
#include "policy/policy.h"

namespace stackquay {

/// Reply to AskGrant.
struct GrantReply {
    uint32_t m_answer = 0; ///< A GrantAnswer.
    EndpointId m_endpoint;
    GrantId m_grant;
    uint64_t m_cachedTokens = 0; ///< Prompt tokens in the engine's cache, as estimated.
    uint64_t m_chunkTokens = 0; ///< Max tokens of the first prefill chunk; 0: no limit.
    uint64_t m_predictedWaitUs = 0; ///< If Waiting or Busy.
    uint32_t m_error = 0; ///< A RequestError, if refused.
    std::string m_message;
    uint64_t m_retryAfterMs = 0;

    MSGPACK_DEFINE(m_answer, m_endpoint, m_grant, m_cachedTokens, m_chunkTokens, m_predictedWaitUs,
                   m_error, m_message, m_retryAfterMs)
};

/// Requests an endpoint. Idempotent by m_request: a repeated call does not change the request's
/// place in the queue.
struct AskGrant {
    using Reply = GrantReply;
    static constexpr std::string_view RpcName = "grant.ask";

    std::string m_shard; ///< From shardKey(). A VM that does not hold the shard replies NotFound.
    RequestId m_request;
    AttemptId m_attempt;
    VmId m_holder; ///< The VM that runs the request.
    CustomerId m_customer;
    ModelId m_model;
    int m_priority = 0;
    double m_weight = 1; ///< The customer's weight in fair scheduling.
    RequestNeed m_need;
    std::vector<EndpointId> m_excluded;
    bool m_mayWait = true; ///< False: reply Busy instead of queueing.
    uint64_t m_waitedUs = 0; ///< Time since the request arrived.
    uint64_t m_remainingUs = 0; ///< Time until the request's deadline.

    MSGPACK_DEFINE(m_shard, m_request, m_attempt, m_holder, m_customer, m_model, m_priority,
                   m_weight, m_need, m_excluded, m_mayWait, m_waitedUs, m_remainingUs)
};

/// Reply to GrantUpdate.
struct GrantUpdateReply {
    bool m_known = false; ///< False: the grant is not valid (any more).
    uint64_t m_chunkTokens = 0; ///< ChunkDone: max tokens of the next chunk.

    MSGPACK_DEFINE(m_known, m_chunkTokens)
};

enum class GrantStep : uint32_t {
    Started,
    ChunkDone,
    FirstToken,
    Finished,
    NotWaiting, ///< A queued request was cancelled.
};

/// Reports the progress of a grant to the steward.
struct GrantUpdate {
    using Reply = GrantUpdateReply;
    static constexpr std::string_view RpcName = "grant.note";

    uint32_t m_step = 0; ///< A GrantStep.
    GrantId m_grant;
    RequestId m_request;
    uint64_t m_remainingUs = 0; ///< Started: time until the request's deadline.
    uint64_t m_prefilledTokens = 0; ///< ChunkDone: prompt tokens prefilled so far.
    uint32_t m_end = 0; ///< Finished: an AttemptEnd. The members below are of Finished, too.
    uint64_t m_cachedTokens = 0;
    uint64_t m_prefillUs = 0;
    uint64_t m_decodeUs = 0;
    uint64_t m_outputTokens = 0;

    MSGPACK_DEFINE(m_step, m_grant, m_request, m_remainingUs, m_prefilledTokens, m_end,
                   m_cachedTokens, m_prefillUs, m_decodeUs, m_outputTokens)
};

/// Converts to whole microseconds; a negative duration gives 0.
uint64_t toMicros(Duration duration);

} // namespace stackquay
