#include "policy/dispatch_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stackquay {

namespace {

/// Sort key: requests that can still meet their latency target by their latest start, then the
/// rest.
auto rankOf(const LoadKey &key, const QueuedRequest &queued, TimePoint now)
{
    const TimePoint order = queued.m_targetAt - queued.m_orderLead;
    return std::make_tuple(isTooLate(queued, now), order, key.m_origin, key.m_sequence);
}

FloatMillis backlogPerEngine(const SideLoad &load)
{
    return FloatMillis(load.m_activePrefills.m_prefillMs) / static_cast<double>(load.m_engines);
}

} // namespace

uint32_t requestsAhead(const DispatchQueue &queue, const LoadKey &key, TimePoint now)
{
    const auto mine = queue.find(key);
    if (mine == queue.end())
        return 0;
    const auto rank = rankOf(key, mine->second, now);
    uint32_t ahead = 0;
    for (const auto &[other, queued] : queue) {
        if (!(other == key) && rankOf(other, queued, now) < rank)
            ++ahead;
    }
    return ahead;
}

double workAhead(const DispatchQueue &queue, const LoadKey &key, TimePoint now)
{
    const auto mine = queue.find(key);
    const bool isWaiting = mine != queue.end();
    const auto rank = rankOf(key, isWaiting ? mine->second : QueuedRequest{}, now);
    double ahead = 0;
    for (const auto &[other, queued] : queue) {
        if (other == key || queued.m_expiresAt <= now)
            continue;
        if (!isWaiting || rankOf(other, queued, now) < rank)
            ahead += queued.m_workMs;
    }
    return ahead;
}

bool mayStartNow(DispatchQueue &queue, const LoadKey &key, uint32_t room, TimePoint now)
{
    std::erase_if(queue, [&](const auto &entry) {
        return entry.second.m_expiresAt <= now && !(entry.first == key);
    });
    return queue.count(key) == 0 || requestsAhead(queue, key, now) < room;
}

bool isInTime(const QueuedRequest &queued, FloatMillis firstEvent, TimePoint now)
{
    return now + firstEvent <= queued.m_targetAt;
}

bool isTooLate(const QueuedRequest &queued, TimePoint now)
{
    return now + queued.m_minTimeToFirstEvent > queued.m_targetAt;
}

FloatMillis longPromptFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                                 double tokens, size_t engines)
{
    const size_t readers = std::clamp<size_t>(engines, 1, settings.m_maxPrefillEngines);
    return prefillDuration(costs, tokens) / static_cast<double>(readers)
           + settings.m_prefillOverhead;
}

FloatMillis maxBacklogPerEngine(const DispatchSettings &settings, const SideLoad &load)
{
    return load.m_longestLatencyTarget * settings.m_maxBacklogShare;
}

FloatMillis cheapPrefillLimit(const DispatchSettings &settings, const SideLoad &load)
{
    return maxBacklogPerEngine(settings, load) * settings.m_cheapPrefillBacklogs;
}

bool isCheapPrefill(const DispatchSettings &settings, const EngineCosts &costs,
                    const SideLoad &load, double tokens)
{
    const FloatMillis limit = cheapPrefillLimit(settings, load);
    return prefillDuration(costs, tokens) < limit && backlogPerEngine(load) < limit;
}

uint32_t prefillsAllowed(const DispatchSettings &settings, const SideLoad &load)
{
    if (load.m_activePrefills.m_prompts < settings.m_minConcurrentPrefills)
        return settings.m_minConcurrentPrefills - load.m_activePrefills.m_prompts;
    return backlogPerEngine(load) < maxBacklogPerEngine(settings, load) ? 1 : 0;
}

uint32_t strictStreamsAllowed(const DispatchSettings &settings, const SideLoad &load)
{
    const double limit = std::ceil(settings.m_maxStrictSlotShare * load.m_slots);
    return static_cast<uint32_t>(std::max(limit - load.m_strictStreams, 0.0));
}

} // namespace stackquay
