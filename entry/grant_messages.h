/// Calls between the node that holds a request and the steward of an endpoint's shard.
///
/// Times go as durations, since clocks of two VMs have nothing in common.
#pragma once

#include "peers/peers.h"
#include "policy/policy.h"

namespace stackquay {

/// A steward's answer to AskGrant.
struct GrantReply {
    uint32_t m_answer = 0; ///< A GrantAnswer.
    EndpointId m_endpoint;
    GrantId m_grant;
    uint64_t m_cachedTokens = 0; ///< Of the prompt, as the steward believes.
    uint64_t m_chunkTokens = 0;
    uint64_t m_predictedWaitUs = 0;
    uint32_t m_error = 0; ///< A RequestError, for refusals.
    std::string m_message;
    uint64_t m_retryAfterMs = 0;

    MSGPACK_DEFINE(m_answer, m_endpoint, m_grant, m_cachedTokens, m_chunkTokens, m_predictedWaitUs,
                   m_error, m_message, m_retryAfterMs)
};

/// Asks for an endpoint. Idempotent by request: asked again while it waits, it waits on.
struct AskGrant {
    using Reply = GrantReply;
    static constexpr std::string_view RpcName = "grant.ask";

    std::string m_shard; ///< As named by shardKey(); a steward that does not hold it refuses.
    RequestId m_request;
    AttemptId m_attempt;
    VmId m_holder;
    CustomerId m_customer;
    ModelId m_model;
    int m_priority = 0;
    double m_weight = 1;
    RequestNeed m_need;
    std::vector<EndpointId> m_excluded;
    bool m_mayWait = true;
    uint64_t m_waitedUs = 0; ///< Since the request's arrival.
    uint64_t m_leftUs = 0; ///< Until its deadline.

    MSGPACK_DEFINE(m_shard, m_request, m_attempt, m_holder, m_customer, m_model, m_priority,
                   m_weight, m_need, m_excluded, m_mayWait, m_waitedUs, m_leftUs)
};

struct GrantNoted {
    bool m_known = false; ///< False: the grant is void.
    uint64_t m_chunkTokens = 0; ///< After a chunk: the next one's size.

    MSGPACK_DEFINE(m_known, m_chunkTokens)
};

enum class GrantStep : uint32_t {
    Started,
    ChunkDone,
    FirstToken,
    Finished,
    NotWaiting, ///< The caller of a waiting request is gone.
};

/// Tells the steward what became of a grant.
struct NoteGrant {
    using Reply = GrantNoted;
    static constexpr std::string_view RpcName = "grant.note";

    uint32_t m_step = 0; ///< A GrantStep.
    GrantId m_grant;
    RequestId m_request;
    uint64_t m_leftUs = 0; ///< Started: until the request's deadline.
    uint64_t m_prefilledTokens = 0; ///< ChunkDone.
    uint32_t m_end = 0; ///< Finished: an AttemptEnd.
    uint64_t m_cachedTokens = 0;
    uint64_t m_prefillUs = 0;
    uint64_t m_decodeUs = 0;
    uint64_t m_outputTokens = 0;

    MSGPACK_DEFINE(m_step, m_grant, m_request, m_leftUs, m_prefilledTokens, m_end, m_cachedTokens,
                   m_prefillUs, m_decodeUs, m_outputTokens)
};

/// The whole microseconds of a duration, not below zero.
uint64_t toMicros(Duration duration);

} // namespace stackquay
