/// Chooses the endpoints of one model request: which engine answers, which ones help to read its
/// prompt, and what memory is reserved where.
///
/// A long prompt is read in even parts by several engines, so that the first event comes early and
/// no engine is blocked for long. Strict streams and long prompts have engines of their own, which
/// strictEngines() decides. Engines of strict streams read long prompts only if their streams bear
/// it and the others would take too much of the time left.
#pragma once

#include <optional>
#include <vector>

#include "policy/long_readers.h"

namespace stackquay {

struct GangSettings {
    RoomSettings m_room;
    ReaderSettings m_readers;
    /// Longest part of a strict stream's prompt on one engine: with a pass of 45 ms and another
    /// such part it stays below a pause of 250 ms.
    FloatMillis m_strictPart{ 60 };
    /// Engines of strict streams may read a long prompt too, as far as their streams bear it, if
    /// its own side takes more than this part of the time that is left: later ones find their
    /// engines free earlier.
    double m_ownSideShare = 0.5;
    /// A long prompt that takes up to this part of an engine's memory may be answered by an engine
    /// of strict streams, whose passes are short, and is read mostly by its own side.
    double m_guestAnswerShare = 0.3;
};

struct GangQuestion {
    double m_promptTokens = 0;
    double m_answerTokens = 0;
    uint32_t m_gapLimitMs = 0;
    FloatMillis m_within{ 1'000 }; ///< Left until the first event is wanted.
    StreamCare m_care = StreamCare::Spare; ///< For long prompts.
    RoomQuestion m_rooms;

    bool strict() const { return isStrictGap(m_gapLimitMs); }
};

/// One engine that takes part. The first member answers.
struct GangMember {
    EndpointRecord m_endpoint;
    double m_readMs = 0;
    uint64_t m_tokens = 0; ///< Memory that its part takes; for a helper only what it reserves.
    bool m_reserve = false; ///< That memory has to be reserved before the request is sent.
};

struct GangPlan {
    std::vector<GangMember> m_members; ///< At least one.
    FloatMillis m_firstEvent{ 0 }; ///< Predicted, from sending.
    /// Streams that are likely to pause for longer than they bear, as its parts are read.
    uint32_t m_spoilt = 0;
};

/// The candidates of the request's own side, and the others.
struct GangSides {
    std::vector<EndpointRecord> m_own;
    std::vector<EndpointRecord> m_other;
};

/// No plan if there is no candidate, or no set of engines has memory for the prompt now.
std::optional<GangPlan> planGang(const GangSettings &settings, const EngineCosts &costs,
                                 const GangSides &sides, const EndpointUses &uses,
                                 const GangQuestion &question);

/// The candidate with the fewest attempts in flight for its slots; one in the same data centre wins
/// ties. Null if there is none.
const EndpointRecord *leastLoaded(const std::vector<EndpointRecord> &candidates,
                                  const EndpointUses &uses, const DataCentreId &dataCentre);

} // namespace stackquay
