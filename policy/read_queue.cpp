#include "policy/read_queue.h"

#include <tuple>

namespace stackquay {

namespace {

/// Sorts those that can still meet their aim by it, and the others behind them.
auto rankOf(const ReadQueueSettings &settings, const LoadKey &key, const WaitingRead &read,
            const ReadingNow &reading, TimePoint now)
{
    const FloatMillis alone(read.m_readMs / static_cast<double>(reading.m_engines));
    const FloatMillis needed = alone * settings.m_readFactor + settings.m_overhead;
    const bool late = now + std::chrono::duration_cast<Duration>(needed) > read.m_aimAt;
    return std::make_tuple(late, read.m_aimAt, key.m_origin, key.m_sequence);
}

} // namespace

bool mayBegin(ReadQueue &queue, const LoadKey &key, const ReadingNow &reading, TimePoint now)
{
    std::erase_if(queue.m_waiting, [&](const auto &entry) {
        return entry.second.m_expiresAt <= now && !(entry.first == key);
    });
    const auto mine = queue.m_waiting.find(key);
    if (mine == queue.m_waiting.end())
        return true;
    const double perEngine = reading.m_readMs / static_cast<double>(reading.m_engines);
    const bool room = reading.m_prompts < queue.m_settings.m_leastReading
                      || FloatMillis(perEngine) < queue.m_settings.m_backlog;
    if (!room)
        return false;
    const auto rank = rankOf(queue.m_settings, key, mine->second, reading, now);
    for (const auto &[other, read] : queue.m_waiting) {
        if (!(other == key) && rankOf(queue.m_settings, other, read, reading, now) < rank)
            return false;
    }
    return true;
}

} // namespace stackquay
