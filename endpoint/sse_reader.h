/// Splits a stream of server-sent events into the data of each event.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stackquay {

/// Feed pieces of any size; take whole events. Only `data:` fields are kept.
class SseReader
{
public:
    void feed(std::string_view piece);
    /// The data of the next whole event. Valid until the next feed().
    std::optional<std::string_view> next();
    /// Whether next() has a whole event.
    bool ready() const;
    /// Bytes of events not yet taken.
    size_t pending() const { return m_buffer.size() - m_position; }

private:
    std::string m_buffer;
    size_t m_position = 0;
};

} // namespace stackquay
