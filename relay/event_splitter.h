/// Splits a server-sent event stream that arrives in chunks into whole events, without changing any
/// byte.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"

namespace stackquay {

struct RawEvent {
    /// Includes the terminating blank line. Valid until more is fed; that of the next event follows
    /// in memory.
    std::string_view m_bytes;
    std::optional<uint64_t> m_id;
};

class EventSplitter
{
public:
    void feed(std::string_view bytes);
    /// The next complete event, or nothing if more bytes are needed.
    std::optional<RawEvent> next();
    /// Whether no incomplete event is buffered, so that the stream may end here.
    bool empty() const { return m_consumed == m_buffer.size(); }
    size_t pending() const { return m_buffer.size() - m_consumed; }
    /// Memory that it holds.
    size_t capacity() const { return m_buffer.capacity(); }

private:
    std::string m_buffer;
    size_t m_consumed = 0;
    size_t m_searched = 0; ///< No event ends before it; the search goes on from here.
};

} // namespace stackquay
