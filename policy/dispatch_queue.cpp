#include "policy/dispatch_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stackquay {

namespace {

auto rankOf(const LoadKey &key, const QueuedRequest &queued)
{
    return std::make_tuple(queued.m_order, key.m_origin, key.m_sequence);
}

FloatMillis backlogPerEngine(const SideLoad &load)
{
    return FloatMillis(load.m_activePrefills.m_prefillMs) / static_cast<double>(load.m_engines);
}

} // namespace

QueuePosition positionOf(const DispatchQueue &queue, const LoadKey &key, TimePoint now)
{
    const auto mine = queue.find(key);
    const bool isWaiting = mine != queue.end();
    const auto rank = rankOf(key, isWaiting ? mine->second : QueuedRequest{});
    QueuePosition position;
    for (const auto &[other, queued] : queue) {
        if (other == key || queued.m_latestStart <= now)
            continue;
        if (isWaiting && rankOf(other, queued) > rank)
            continue;
        ++position.m_requestsAhead;
        position.m_workAheadMs += queued.m_workMs;
    }
    return position;
}

void dropExpired(DispatchQueue &queue, const LoadKey &key, TimePoint now)
{
    std::erase_if(queue, [&](const auto &entry) {
        return entry.second.m_latestStart <= now && !(entry.first == key);
    });
}

FloatMillis longPromptFirstEvent(const DispatchSettings &settings, const EngineCosts &costs,
                                 double tokens, size_t engines, FloatMillis backlog)
{
    const size_t readers = std::clamp<size_t>(engines, 1, settings.m_maxPrefillEngines);
    return prefillDuration(costs, tokens) / static_cast<double>(readers) + backlog
           + startDelay(costs);
}

FloatMillis maxBacklogPerEngine(const DispatchSettings &settings, FloatMillis passPrefill)
{
    return passPrefill * settings.m_backlogPasses;
}

bool isCheapPrefill(const DispatchSettings &settings, const EngineCosts &costs,
                    const SideLoad &load, double tokens)
{
    const FloatMillis limit =
        maxBacklogPerEngine(settings, load.m_passPrefill) * settings.m_cheapPrefillBacklogs;
    return prefillDuration(costs, tokens) < limit && backlogPerEngine(load) < limit;
}

bool mayStartPrefill(const DispatchSettings &settings, const SideLoad &load,
                     const QueuePosition &position)
{
    const ActivePrefills &active = load.m_activePrefills;
    if (active.m_prompts + position.m_requestsAhead < settings.m_minConcurrentPrefills)
        return true;
    const FloatMillis backlog(active.m_prefillMs + position.m_workAheadMs);
    return backlog / static_cast<double>(load.m_engines)
           < maxBacklogPerEngine(settings, load.m_passPrefill);
}

bool mayStartStream(const DispatchSettings &settings, const SideLoad &load,
                    const QueuePosition &position)
{
    const double limit = std::ceil(settings.m_maxStrictSlotShare * load.m_slots);
    return load.m_strictStreams + position.m_requestsAhead < limit;
}

} // namespace stackquay
