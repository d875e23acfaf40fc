/// What all VMs together have in flight at each endpoint, as one VM knows it.
///
/// Each VM tells the others of every placement, first event and end. The ledger is a hint: a lost
/// message makes a choice worse, never wrong, as the endpoint's own refusal decides. Entries whose
/// end was never heard of expire.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include <msgpack.hpp>

#include "core/core.h"
#include "policy/engine_costs.h"

namespace stackquay {

/// Names one attempt in the fleet.
struct LoadKey {
    uint64_t m_origin = 0; ///< Random; one process of a VM.
    uint64_t m_sequence = 0;

    bool operator==(const LoadKey &) const = default;
    MSGPACK_DEFINE(m_origin, m_sequence)
};

struct LoadKeyHash {
    size_t operator()(const LoadKey &key) const noexcept
    {
        constexpr uint64_t Spread = 0x9e3779b97f4a7c15ull;
        return key.m_origin ^ (key.m_sequence * Spread);
    }
};

/// The share of one endpoint in an attempt.
struct LoadPart {
    EndpointId m_endpoint;
    double m_readMs = 0; ///< Predicted, alone on the endpoint; zero for a plain service.
    uint64_t m_tokens = 0; ///< Memory that the attempt takes there.

    bool operator==(const LoadPart &) const = default;
    MSGPACK_DEFINE(m_endpoint, m_readMs, m_tokens)
};

/// One attempt in flight. The first part is the endpoint that answers.
struct AttemptLoad {
    std::vector<LoadPart> m_parts;
    uint32_t m_gapLimitMs = 0; ///< Longest pause that its stream bears; zero: any.
    bool m_writing = false; ///< Its first event came: nothing is left to read.
    TimePoint m_placedAt{};
    TimePoint m_expiresAt{};

    bool strict() const;
};

using AttemptLoads = std::unordered_map<LoadKey, AttemptLoad, LoadKeyHash>;

/// What the ledger sums up for one endpoint.
struct EndpointUse {
    uint32_t m_attempts = 0; ///< That it answers, reading or writing.
    uint32_t m_writers = 0;
    uint32_t m_strictWriters = 0; ///< Whose streams bear only short pauses.
    double m_readBacklogMs = 0; ///< Reading still to do, own and for others.
    double m_longReadMs = 0; ///< Of that, for streams that are not strict.
    double m_recentLongMs = 0; ///< Such reading placed there within LongReadWindow.
    uint64_t m_tokens = 0; ///< Memory in use or promised.
    /// Shortest pause that a stream bears which it answers; zero: no stream has a limit.
    uint32_t m_tightestGapMs = 0;
};

/// What reads now, as the ledger knows it.
struct ReadingNow {
    uint32_t m_prompts = 0; ///< Long ones without a first event.
    double m_readMs = 0; ///< Of all their parts.
};

using EndpointUses = std::unordered_map<EndpointId, EndpointUse>;

class StreamLedger
{
public:
    /// A second time for the same attempt, @p load takes the place of the first; its demand is not
    /// counted again.
    void place(const LoadKey &key, AttemptLoad load);
    /// The first event of @p key came.
    void startWriting(const LoadKey &key);
    /// False if nothing was known of @p key.
    bool end(const LoadKey &key);
    /// Forgets attempts of a VM's process that is gone.
    void forgetOrigin(uint64_t origin);
    /// Forgets the parts of attempts at an endpoint whose process is gone.
    void forgetEndpoint(const EndpointId &endpoint);

    /// Strict streams placed within StrictRateWindow before @p now.
    uint32_t recentStrict(TimePoint now);
    /// Long prompts in all that have no first event yet.
    ReadingNow readingLong() const;
    /// Sums at @p now, without expired entries, which are dropped.
    EndpointUses uses(TimePoint now);
    /// All, also those that have expired since the last sums.
    const AttemptLoads &loads() const { return m_loads; }
    size_t size() const { return m_loads.size(); }

private:
    struct LongRead {
        TimePoint m_at{};
        EndpointId m_endpoint;
        double m_readMs = 0;
    };

    void countDemand(const AttemptLoad &load);

    AttemptLoads m_loads;
    std::deque<TimePoint> m_strictPlaced; ///< Of the last window.
    std::deque<LongRead> m_longReads; ///< Of the last window, by time of placement.
};

/// A pause of this length or less makes a stream strict: it suffers where long parts are read.
constexpr uint32_t StrictGapMs = 400;
constexpr bool isStrictGap(uint32_t gapLimitMs)
{
    return gapLimitMs > 0 && gapLimitMs <= StrictGapMs;
}
/// Over this time the demand of long prompts is measured: some of them arrive in it, and a burst is
/// seen in part of it.
constexpr Millis LongReadWindow{ 2'500 };
/// Over this time the arrivals of strict streams are counted: long enough for some to arrive, short
/// enough to see a burst at its begin.
constexpr Millis StrictRateWindow{ 400 };

} // namespace stackquay
