/// Chooses the endpoints of one model request (its gang): the engine that decodes the answer, the
/// helpers that prefill parts of its prompt, and the memory to reserve on each.
///
/// Several engines prefill a long prompt in equal parts, so that the first event comes early and no
/// engine is blocked for long. Strict streams and long prompts use separate engines, which
/// strictEngines() assigns. Engines of strict streams prefill long prompts only if their streams
/// tolerate it and the other engines would take longer than expected.
#pragma once

#include <optional>
#include <vector>

#include "policy/prefill_group.h"

namespace stackquay {

struct GangSettings {
    CandidateSettings m_candidates;
    PrefillGroupSettings m_prefillGroup;
    /// Longest part of a strict stream's prompt on one engine. Together with a pass of 45 ms and
    /// another such part, the gap between events stays below 250 ms.
    FloatMillis m_maxStrictPart{ 60 };
    /// A long prompt that needs up to this fraction of an engine's memory may be answered by an
    /// engine of strict streams, whose passes are short. Its own side prefills most of it.
    double m_guestAnswerShare = 0.3;
};

/// The request to be planned.
struct GangQuery {
    double m_promptTokens = 0;
    double m_answerTokens = 0; ///< Expected.
    uint32_t m_gapLimitMs = 0; ///< Longest tolerated gap between events; 0: no limit.
    /// Time from sending to the first event that a prompt of its length is expected to take. If its
    /// own side would take longer, the other engines are used, too; for a long prompt as far as
    /// their streams tolerate it.
    FloatMillis m_expectedFirstEvent{ 0 };
    DisruptionPolicy m_disruption = DisruptionPolicy::Avoid; ///< For long prompts only.
    CandidateQuery m_candidateQuery;

    /// Whether its stream is strict, see isStrictGap().
    bool strict() const { return isStrictGap(m_gapLimitMs); }
};

/// One engine of a gang.
struct GangMember {
    EndpointRecord m_endpoint;
    double m_prefillMs = 0; ///< Predicted prefill of its part, alone on the engine.
    /// Memory that the request uses there. A helper keeps only what is reserved for parts of the KV
    /// cache that the first engine cannot hold.
    uint64_t m_tokens = 0;
    bool m_reserve = false; ///< m_tokens has to be reserved before the request is sent.
};

struct GangPlan {
    std::vector<GangMember> m_members; ///< At least one; the first one decodes the answer.
    FloatMillis m_firstEvent{ 0 }; ///< Predicted time from sending to the first event.
    FloatMillis m_completion{ 0 }; ///< Predicted time from sending to the end of the answer.
    /// Streams that the prefill is predicted to disrupt, so that they exceed their gap limits.
    uint32_t m_disruptedStreams = 0;
};

/// The candidates of the request's own side of the pool, and the others.
struct GangSides {
    std::vector<EndpointRecord> m_own;
    std::vector<EndpointRecord> m_other;
};

/// Returns no plan if there is no candidate, or no set of them has the memory for a long prompt and
/// streams that tolerate its prefill now.
std::optional<GangPlan> planGang(const GangSettings &settings, const EngineCosts &costs,
                                 const GangSides &sides, const EndpointUses &uses,
                                 const GangQuery &query);

/// The candidate with the fewest attempts in flight per slot; @p dataCentre wins ties. Null if
/// there is no candidate.
const EndpointRecord *leastLoaded(const std::vector<EndpointRecord> &candidates,
                                  const EndpointUses &uses, const DataCentreId &dataCentre);

} // namespace stackquay
