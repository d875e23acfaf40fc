/// Chooses the endpoints of one model request: which engine answers, which ones help to read its
/// prompt, and what memory is reserved where.
///
/// A long prompt is read in even parts by several engines, so that the first event comes early and
/// no engine is blocked for long. Strict streams and long prompts have engines of their own, which
/// strictEngines() decides. A long prompt may also be read by engines of strict streams, if its
/// parts stay short and its own side would take too long.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct GangSettings {
    /// Longest part of a strict stream's prompt on one engine: with a pass of 45 ms and another
    /// such part it stays below a pause of 250 ms.
    FloatMillis m_strictPart{ 60 };
    /// A long prompt is split down to parts of this length, less than a pass: shorter ones gain
    /// nothing.
    FloatMillis m_longPart{ 40 };
    /// Longest part of a long prompt on an engine of strict streams that reads no other: with a
    /// pass of 75 ms it stays below a pause of 250 ms.
    FloatMillis m_guestPart{ 110 };
    /// A long prompt whose own side is expected to begin after this part of the aim may use such
    /// guests; after the second, any engines, if that is in time and spoils few strict streams.
    double m_guestsAfter = 0.5;
    double m_anyAfter = 0.9;
    /// A long prompt in time is worth about ten strict streams (the users' sheets).
    uint32_t m_mostSpoilt = 12;
    /// A long prompt that takes up to this part of an engine's memory is answered by an engine of
    /// strict streams, whose passes are short, and read mostly by its own side.
    double m_guestAnswerShare = 0.3;
    uint32_t m_mostHelpers = 16; ///< The engines' own limit.
    /// Engines keep this part of their memory free of planned use, for answers longer than usual.
    double m_memoryReserve = 0.1;
};

struct GangQuestion {
    double m_promptTokens = 0;
    double m_answerTokens = 0;
    uint32_t m_gapLimitMs = 0;
    FloatMillis m_aim{ 1'000 };
    DataCentreId m_dataCentre; ///< Of the VM that asks.
    /// Draws a number in [0, 1) for each candidate, so that VMs that know little do not all choose
    /// the same; empty: no draw.
    std::function<double()> m_draw;

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
