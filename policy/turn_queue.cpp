#include "policy/turn_queue.h"

#include <tuple>

namespace stackquay {

namespace {

/// Sorts those that can still meet their aim by it, and the others behind them.
auto rankOf(const LoadKey &key, const WaitingTurn &turn, TimePoint now)
{
    const bool late = now + turn.m_needed > turn.m_aimAt;
    return std::make_tuple(late, turn.m_aimAt, key.m_origin, key.m_sequence);
}

} // namespace

bool isNext(TurnQueue &queue, const LoadKey &key, TimePoint now)
{
    std::erase_if(queue, [&](const auto &entry) {
        return entry.second.m_expiresAt <= now && !(entry.first == key);
    });
    const auto mine = queue.find(key);
    if (mine == queue.end())
        return true;
    const auto rank = rankOf(key, mine->second, now);
    for (const auto &[other, turn] : queue) {
        if (!(other == key) && rankOf(other, turn, now) < rank)
            return false;
    }
    return true;
}

bool roomToRead(const TurnSettings &settings, const SideLoad &load)
{
    const double perEngine = load.m_reading.m_readMs / static_cast<double>(load.m_engines);
    return load.m_reading.m_prompts < settings.m_leastReading
           || FloatMillis(perEngine) < settings.m_readBacklog;
}

bool roomToWrite(const TurnSettings &settings, const SideLoad &load)
{
    return load.m_strictStreams < settings.m_slotShare * load.m_slots;
}

} // namespace stackquay
