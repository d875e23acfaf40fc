#include "policy/stream_ledger.h"

#include <algorithm>
#include <limits>

namespace stackquay {

namespace {

/// Reading that has not ended although its predicted time is over still counts for this part.
constexpr double OverdueShare = 0.25;

double msBetween(TimePoint from, TimePoint to)
{
    return FloatMillis(to - from).count();
}

/// A part that one endpoint has still to read, for all that is known.
struct OutstandingRead {
    TimePoint m_at{}; ///< When it was placed.
    double m_readMs = 0;
    bool m_long = false; ///< For a stream that is not strict.
};

/// Reading left at @p now of @p reads, which an endpoint does one after the other as they come. The
/// time in which it had nothing to read does not count as work done.
double readingLeft(std::vector<OutstandingRead> &reads, TimePoint now)
{
    std::sort(reads.begin(), reads.end(),
              [](const auto &left, const auto &right) { return left.m_at < right.m_at; });
    double all = 0;
    double doneIn = std::numeric_limits<double>::lowest(); // From now; below zero: it is done.
    for (const OutstandingRead &read : reads) {
        all += read.m_readMs;
        doneIn = std::max(doneIn, msBetween(now, read.m_at)) + read.m_readMs;
    }
    return std::max(doneIn, all * OverdueShare);
}

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
    // Without the endpoint that answers, an attempt is over; without a helper it goes on elsewhere.
    std::erase_if(m_loads, [&isThere](const auto &entry) {
        const std::vector<LoadPart> &parts = entry.second.m_parts;
        return !parts.empty() && isThere(parts.front());
    });
    for (auto &[key, load] : m_loads)
        std::erase_if(load.m_parts, isThere);
    std::erase_if(m_longReads, isThere);
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
    std::unordered_map<EndpointId, std::vector<OutstandingRead>> reads;
    for (const auto &[key, load] : m_loads) {
        for (size_t i = 0; i < load.m_parts.size(); ++i) {
            const LoadPart &part = load.m_parts[i];
            EndpointUse &use = uses[part.m_endpoint];
            use.m_tokens += part.m_tokens;
            if (!load.m_writing)
                reads[part.m_endpoint].push_back(
                    { load.m_placedAt, part.m_readMs, !load.strict() });
            if (i > 0)
                continue;
            ++use.m_attempts;
            if (load.m_gapLimitMs > 0
                && (use.m_tightestGapMs == 0 || load.m_gapLimitMs < use.m_tightestGapMs))
                use.m_tightestGapMs = load.m_gapLimitMs;
            if (load.m_writing)
                ++use.m_writers;
            if (load.strict())
                ++use.m_strictWriters;
        }
    }
    for (auto &[endpoint, outstanding] : reads) {
        EndpointUse &use = uses[endpoint];
        use.m_readBacklogMs = readingLeft(outstanding, now);
        for (const OutstandingRead &read : outstanding)
            use.m_longReadMs += read.m_long ? read.m_readMs : 0;
        use.m_longReadMs = std::min(use.m_longReadMs, use.m_readBacklogMs);
    }
    while (!m_longReads.empty() && m_longReads.front().m_at + LongReadWindow <= now)
        m_longReads.pop_front();
    for (const LongRead &read : m_longReads)
        uses[read.m_endpoint].m_recentLongMs += read.m_readMs;
    return uses;
}

} // namespace stackquay
