#include "policy/stream_ledger.h"

#include <algorithm>

namespace stackquay {

namespace {

/// Reading that has not ended although its predicted time is over still counts for this part.
constexpr double OverdueShare = 0.25;

double msBetween(TimePoint from, TimePoint to)
{
    return FloatMillis(to - from).count();
}

/// Reading outstanding at one endpoint, before elapsed time is taken off.
struct Backlog {
    double m_readMs = 0;
    double m_longMs = 0; ///< Of that, for streams that are not strict.
    TimePoint m_since = TimePoint::max(); ///< Placement of the oldest that is outstanding.
};

} // namespace

bool AttemptLoad::strict() const
{
    return isStrictGap(m_gapLimitMs);
}

/// Placements that are told later have their place among those heard of at once.
void StreamLedger::countDemand(const AttemptLoad &load)
{
    const TimePoint at = load.m_placedAt;
    if (load.strict()) {
        m_strictPlaced.insert(std::upper_bound(m_strictPlaced.begin(), m_strictPlaced.end(), at),
                              at);
        return;
    }
    const auto before = [](TimePoint time, const LongRead &read) { return time < read.m_at; };
    for (const LoadPart &part : load.m_parts) {
        if (part.m_readMs > 0)
            m_longReads.insert(std::upper_bound(m_longReads.begin(), m_longReads.end(), at, before),
                               { at, part.m_endpoint, part.m_readMs });
    }
}

void StreamLedger::place(const LoadKey &key, AttemptLoad load)
{
    if (m_loads.count(key) == 0)
        countDemand(load);
    m_loads[key] = std::move(load);
}

void StreamLedger::startWriting(const LoadKey &key)
{
    const auto found = m_loads.find(key);
    if (found != m_loads.end())
        found->second.m_writing = true;
}

void StreamLedger::end(const LoadKey &key)
{
    m_loads.erase(key);
}

void StreamLedger::forgetOrigin(uint64_t origin)
{
    std::erase_if(m_loads, [origin](const auto &entry) { return entry.first.m_origin == origin; });
}

uint32_t StreamLedger::recentStrict(TimePoint now)
{
    while (!m_strictPlaced.empty() && m_strictPlaced.front() + StrictRateWindow <= now)
        m_strictPlaced.pop_front();
    return static_cast<uint32_t>(m_strictPlaced.size());
}

ReadingNow StreamLedger::readingLong() const
{
    ReadingNow reading;
    for (const auto &[key, load] : m_loads) {
        if (load.m_writing || load.strict())
            continue;
        double readMs = 0;
        for (const LoadPart &part : load.m_parts)
            readMs += part.m_readMs;
        if (readMs > 0)
            ++reading.m_prompts;
        reading.m_readMs += readMs;
    }
    return reading;
}

EndpointUses StreamLedger::uses(TimePoint now)
{
    std::erase_if(m_loads, [now](const auto &entry) { return entry.second.m_expiresAt <= now; });
    EndpointUses uses;
    std::unordered_map<EndpointId, Backlog> backlogs;
    for (const auto &[key, load] : m_loads) {
        for (size_t i = 0; i < load.m_parts.size(); ++i) {
            const LoadPart &part = load.m_parts[i];
            EndpointUse &use = uses[part.m_endpoint];
            use.m_tokens += part.m_tokens;
            if (!load.m_writing) {
                Backlog &backlog = backlogs[part.m_endpoint];
                backlog.m_readMs += part.m_readMs;
                if (!load.strict())
                    backlog.m_longMs += part.m_readMs;
                backlog.m_since = std::min(backlog.m_since, load.m_placedAt);
            }
            if (i > 0)
                continue;
            ++use.m_attempts;
            if (load.m_writing)
                ++use.m_writers;
            if (load.strict())
                ++use.m_strictWriters;
        }
    }
    for (const auto &[endpoint, backlog] : backlogs) {
        EndpointUse &use = uses[endpoint];
        const double elapsed = msBetween(backlog.m_since, now);
        use.m_readBacklogMs = std::max(backlog.m_readMs - elapsed, backlog.m_readMs * OverdueShare);
        use.m_longReadMs = std::min(backlog.m_longMs, use.m_readBacklogMs);
    }
    while (!m_longReads.empty() && m_longReads.front().m_at + LongReadWindow <= now)
        m_longReads.pop_front();
    for (const LongRead &read : m_longReads)
        uses[read.m_endpoint].m_recentLongMs += read.m_readMs;
    return uses;
}

} // namespace stackquay
