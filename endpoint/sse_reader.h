/// Parser of server-sent events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace stackquay {

/// Collects bytes in pieces of any size and returns the data of complete events. Events that do not
/// start with a `data:` field are skipped.
class SseReader
{
public:
    void feed(std::string_view bytes);
    /// The data of the next complete event, valid until the next feed(); nothing if there is none.
    std::optional<std::string_view> next();
    /// Whether the buffer holds a complete event.
    bool ready() const;
    /// Buffered bytes that next() has not returned yet.
    size_t pending() const { return m_buffer.size() - m_position; }

private:
    std::string m_buffer;
    size_t m_position = 0;
};

} // namespace stackquay
