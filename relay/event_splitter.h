/// Whole events out of an event stream that arrives in pieces, byte for byte as they came.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "core/core.h"

namespace stackquay {

struct RawEvent {
    std::string m_bytes; ///< With the blank line that ends it.
    std::optional<uint64_t> m_id;
};

class EventSplitter
{
public:
    void feed(std::string_view bytes);
    /// The next whole event, if there is one.
    std::optional<RawEvent> next();
    /// Whether the stream may end here: no part of an event is left.
    bool empty() const { return m_taken == m_buffer.size(); }
    size_t pending() const { return m_buffer.size() - m_taken; }

private:
    std::string m_buffer;
    size_t m_taken = 0;
};

} // namespace stackquay
