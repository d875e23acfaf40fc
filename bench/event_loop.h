/// A loop over events in simulated time.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include "core/core.h"

namespace stackquay {

class EventLoop
{
public:
    using Callback = std::function<void()>;

    TimePoint now() const { return m_now; }
    void at(TimePoint time, Callback callback)
    {
        m_events.push({ time, m_sequence++, std::move(callback) });
    }
    void after(Duration delay, Callback callback) { at(m_now + delay, std::move(callback)); }

    /// Runs until no event is left, or the next one lies after @p end.
    void runUntil(TimePoint end)
    {
        while (!m_events.empty() && m_events.top().m_time <= end) {
            auto event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.m_time;
            event.m_callback();
        }
    }

private:
    struct Event {
        TimePoint m_time;
        uint64_t m_sequence = 0;
        Callback m_callback;

        bool operator<(const Event &other) const
        {
            return std::tie(other.m_time, other.m_sequence) < std::tie(m_time, m_sequence);
        }
    };

    TimePoint m_now = TimePoint{} + Seconds(1'000);
    uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
};

} // namespace stackquay
