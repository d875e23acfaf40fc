#include "policy/stream_ledger.h"

#include <algorithm>
#include <limits>

namespace stackquay {

namespace {

/// Fraction of its predicted time that a prefill counts at least until it is reported as complete.
constexpr double OverdueShare = 0.25;

double msBetween(TimePoint from, TimePoint to)
{
    return FloatMillis(to - from).count();
}

/// A part whose prefill on one endpoint is not reported as complete.
struct OutstandingPrefill {
    TimePoint m_at{}; ///< Time of placement.
    double m_prefillMs = 0;
    bool m_long = false; ///< For a stream that is not strict.
};

/// Prefill time left at @p now if an endpoint processes @p prefills one after the other in the
/// order of their placement. Time in which it was idle does not count as work done.
double remainingPrefillMs(std::vector<OutstandingPrefill> &prefills, TimePoint now)
{
    std::sort(prefills.begin(), prefills.end(),
              [](const auto &left, const auto &right) { return left.m_at < right.m_at; });
    double all = 0;
    double doneIn = std::numeric_limits<double>::lowest(); // Relative to now; negative: done.
    for (const OutstandingPrefill &prefill : prefills) {
        all += prefill.m_prefillMs;
        doneIn = std::max(doneIn, msBetween(now, prefill.m_at)) + prefill.m_prefillMs;
    }
    return std::max(doneIn, all * OverdueShare);
}

} // namespace

bool AttemptLoad::strict() const
{
    return isStrictGap(m_gapLimitMs);
}

double AttemptLoad::prefillMs() const
{
    double sum = 0;
    for (const LoadPart &part : m_parts)
        sum += part.m_prefillMs;
    return sum;
}

/// Placements that are reported late are inserted by their time.
void StreamLedger::recordDemand(const AttemptLoad &load)
{
    const TimePoint at = load.m_placedAt;
    if (load.strict()) {
        m_recentStrictPlacements.insert(
            std::upper_bound(m_recentStrictPlacements.begin(), m_recentStrictPlacements.end(), at),
            at);
        return;
    }
    const auto before = [](TimePoint time, const PlacedPrefill &prefill) {
        return time < prefill.m_at;
    };
    for (const LoadPart &part : load.m_parts) {
        if (part.m_prefillMs > 0)
            m_recentLongPrefills.insert(std::upper_bound(m_recentLongPrefills.begin(),
                                                         m_recentLongPrefills.end(), at, before),
                                        { at, part.m_endpoint, part.m_prefillMs });
    }
}

void StreamLedger::place(const LoadKey &key, AttemptLoad load)
{
    if (m_loads.count(key) == 0)
        recordDemand(load);
    m_loads[key] = std::move(load);
}

void StreamLedger::recordFirstEvent(const LoadKey &key)
{
    const auto found = m_loads.find(key);
    if (found != m_loads.end())
        found->second.m_decoding = true;
}

bool StreamLedger::end(const LoadKey &key)
{
    return m_loads.erase(key) > 0;
}

void StreamLedger::forgetOrigin(uint64_t origin)
{
    std::erase_if(m_loads, [origin](const auto &entry) { return entry.first.m_origin == origin; });
}

void StreamLedger::forgetEndpoint(const EndpointId &endpoint)
{
    const auto isThere = [&endpoint](const auto &part) { return part.m_endpoint == endpoint; };
    // An attempt ends with the endpoint that answers it, but continues without a helper.
    std::erase_if(m_loads, [&isThere](const auto &entry) {
        const std::vector<LoadPart> &parts = entry.second.m_parts;
        return !parts.empty() && isThere(parts.front());
    });
    for (auto &[key, load] : m_loads)
        std::erase_if(load.m_parts, isThere);
    std::erase_if(m_recentLongPrefills, isThere);
}

uint32_t StreamLedger::recentStrictPlacements(TimePoint now)
{
    while (!m_recentStrictPlacements.empty()
           && m_recentStrictPlacements.front() + StrictRateWindow <= now)
        m_recentStrictPlacements.pop_front();
    return static_cast<uint32_t>(m_recentStrictPlacements.size());
}

ActivePrefills StreamLedger::activeLongPrefills() const
{
    ActivePrefills reading;
    for (const auto &[key, load] : m_loads) {
        if (load.m_decoding || load.strict())
            continue;
        const double readMs = load.prefillMs();
        if (readMs > 0)
            ++reading.m_prompts;
        reading.m_prefillMs += readMs;
    }
    return reading;
}

EndpointUses StreamLedger::uses(TimePoint now)
{
    std::erase_if(m_loads, [now](const auto &entry) { return entry.second.m_expiresAt <= now; });
    EndpointUses uses;
    std::unordered_map<EndpointId, std::vector<OutstandingPrefill>> prefills;
    for (const auto &[key, load] : m_loads) {
        for (size_t i = 0; i < load.m_parts.size(); ++i) {
            const LoadPart &part = load.m_parts[i];
            EndpointUse &use = uses[part.m_endpoint];
            use.m_tokens += part.m_tokens;
            if (!load.m_decoding)
                prefills[part.m_endpoint].push_back(
                    { load.m_placedAt, part.m_prefillMs, !load.strict() });
            if (i > 0)
                continue;
            ++use.m_attempts;
            if (load.m_gapLimitMs > 0
                && (use.m_minGapLimitMs == 0 || load.m_gapLimitMs < use.m_minGapLimitMs))
                use.m_minGapLimitMs = load.m_gapLimitMs;
            if (load.m_decoding)
                ++use.m_decodingStreams;
            if (load.strict())
                ++use.m_strictAttempts;
        }
    }
    for (auto &[endpoint, outstanding] : prefills) {
        EndpointUse &use = uses[endpoint];
        use.m_prefillBacklogMs = remainingPrefillMs(outstanding, now);
        for (const OutstandingPrefill &prefill : outstanding)
            use.m_longPrefillMs += prefill.m_long ? prefill.m_prefillMs : 0;
        use.m_longPrefillMs = std::min(use.m_longPrefillMs, use.m_prefillBacklogMs);
    }
    while (!m_recentLongPrefills.empty()
           && m_recentLongPrefills.front().m_at + LongPrefillWindow <= now)
        m_recentLongPrefills.pop_front();
    for (const PlacedPrefill &prefill : m_recentLongPrefills)
        uses[prefill.m_endpoint].m_recentLongPrefillMs += prefill.m_prefillMs;
    return uses;
}

} // namespace stackquay
