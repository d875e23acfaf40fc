/// Attempts in flight of all VMs at each endpoint, as far as one VM knows.
///
/// Each VM reports every placement, first event and end to the others. The ledger is only a hint: a
/// lost message can lead to a less suitable choice, but the endpoint itself refuses what it cannot
/// take. Entries whose end is not reported expire.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"
#include "policy/engine_costs.h"

namespace stackquay {

/// Identifies one attempt in the fleet.
struct LoadKey {
    uint64_t m_origin = 0; ///< Random id of one process of a VM.
    uint64_t m_sequence = 0; ///< Unique within the process.

    bool operator==(const LoadKey &) const = default;
    auto operator<=>(const LoadKey &) const = default;
    MSGPACK_DEFINE(m_origin, m_sequence)
};

struct LoadKeyHash {
    size_t operator()(const LoadKey &key) const noexcept
    {
        constexpr uint64_t Spread = 0x9e3779b97f4a7c15ull;
        return key.m_origin ^ (key.m_sequence * Spread);
    }
};

/// The part of an attempt that one endpoint takes.
struct LoadPart {
    EndpointId m_endpoint;
    /// Predicted prefill time on the otherwise idle endpoint; 0 for a plain service.
    double m_prefillMs = 0;
    uint64_t m_tokens = 0; ///< Memory that the attempt uses there.

    bool operator==(const LoadPart &) const = default;
    MSGPACK_DEFINE(m_endpoint, m_prefillMs, m_tokens)
};

/// One attempt in flight.
struct AttemptLoad {
    std::vector<LoadPart> m_parts; ///< The first one is at the endpoint that answers.
    uint32_t m_gapLimitMs = 0; ///< Longest tolerated gap between events; 0: no limit.
    bool m_decoding = false; ///< Its first event came, so its prefill is complete.
    TimePoint m_placedAt{};
    TimePoint m_expiresAt{}; ///< Dropped then if its end was not reported.

    /// Whether its stream is strict, see isStrictGap().
    bool strict() const;
    /// Predicted prefill time of all its parts.
    double prefillMs() const;
};

using AttemptLoads = std::unordered_map<LoadKey, AttemptLoad, LoadKeyHash>;

/// Load of one endpoint: sums over the ledger.
struct EndpointUse {
    uint32_t m_attempts = 0; ///< Attempts that it answers, in prefill or decoding.
    uint32_t m_decodingStreams = 0; ///< Of m_attempts, those with a first event.
    uint32_t m_strictAttempts = 0; ///< Of m_attempts, those whose streams are strict.
    double m_prefillBacklogMs = 0; ///< Prefill left to do, including parts of others' prompts.
    double m_longPrefillMs = 0; ///< Of that, for streams that are not strict.
    /// Prefill of streams that are not strict, placed there within LongPrefillWindow.
    double m_recentLongPrefillMs = 0;
    uint64_t m_tokens = 0; ///< Memory in use or reserved.
    /// Smallest gap limit of the streams that it answers; 0: no stream has a limit.
    uint32_t m_minGapLimitMs = 0;
};

/// Long prompts whose prefill is in progress.
struct ActivePrefills {
    uint32_t m_prompts = 0; ///< Prompts without a first event.
    double m_prefillMs = 0; ///< Predicted prefill time of all their parts.
};

using EndpointUses = std::unordered_map<EndpointId, EndpointUse>;

class StreamLedger
{
public:
    /// Adds the attempt @p key. If it is known, @p load replaces the old entry and the demand is
    /// not counted again.
    void place(const LoadKey &key, AttemptLoad load);
    /// Records that the first event of @p key came.
    void recordFirstEvent(const LoadKey &key);
    /// Removes the attempt @p key. Returns false if it was not known.
    bool end(const LoadKey &key);
    /// Removes the attempts of a VM's process that has ended.
    void forgetOrigin(uint64_t origin);
    /// Removes the parts at an endpoint whose process has ended, and the attempts that it answered.
    void forgetEndpoint(const EndpointId &endpoint);

    /// Number of strict streams placed within StrictRateWindow before @p now.
    uint32_t recentStrictPlacements(TimePoint now);
    /// Long prompts of all endpoints that have no first event yet.
    ActivePrefills activeLongPrefills() const;
    /// Load of each endpoint at @p now. Drops expired entries. Endpoints without load are missing.
    EndpointUses uses(TimePoint now);
    /// All entries, including those that expired since the last call of uses().
    const AttemptLoads &loads() const { return m_loads; }
    /// Number of entries in loads().
    size_t size() const { return m_loads.size(); }

private:
    struct PlacedPrefill {
        TimePoint m_at{};
        EndpointId m_endpoint;
        double m_prefillMs = 0;
    };

    void recordDemand(const AttemptLoad &load);

    AttemptLoads m_loads;
    std::deque<TimePoint> m_recentStrictPlacements; ///< Within StrictRateWindow, ascending.
    /// Within LongPrefillWindow, by time of placement.
    std::deque<PlacedPrefill> m_recentLongPrefills;
};

/// A stream is strict if its gap limit is at most this: a long part that its engine prefills would
/// make a gap exceed the limit.
constexpr uint32_t StrictGapMs = 400;
/// Whether a stream with this gap limit (0: none) is strict.
constexpr bool isStrictGap(uint32_t gapLimitMs)
{
    return gapLimitMs > 0 && gapLimitMs <= StrictGapMs;
}
/// Window for the demand of long prompts. It is long enough for several to arrive, and short enough
/// that a burst shows within a part of it.
constexpr Millis LongPrefillWindow{ 2'500 };
/// Window for the arrivals of strict streams. It is long enough for several to arrive, and short
/// enough to detect a burst at its start.
constexpr Millis StrictRateWindow{ 400 };

} // namespace stackquay
