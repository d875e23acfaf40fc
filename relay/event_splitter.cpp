#include "relay/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace stackquay {

namespace {

constexpr std::string_view IdField = "id:";
constexpr size_t LongestBlankLine = 3;
constexpr size_t KeptCapacity = 32 * 1024;

/// The length of the blank line that starts at @p position; zero if there is none.
size_t blankLineAt(std::string_view text, size_t position)
{
    for (const std::string_view end : { std::string_view("\n\n"), std::string_view("\n\r\n") }) {
        if (text.substr(position, end.size()) == end)
            return end.size();
    }
    return 0;
}

std::optional<uint64_t> parseId(std::string_view event)
{
    size_t start = 0;
    while (start < event.size()) {
        const size_t end = std::min(event.find('\n', start), event.size());
        std::string_view line = event.substr(start, end - start);
        start = end + 1;
        if (line.substr(0, IdField.size()) != IdField)
            continue;
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        uint64_t id = 0;
        const auto [rest, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        if (error == std::errc() && rest != line.data())
            return id;
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

void EventSplitter::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_consumed);
    m_searched -= m_consumed;
    m_consumed = 0;
    // One long event does not keep its memory for the rest of the stream.
    if (m_buffer.empty() && m_buffer.capacity() > KeptCapacity)
        std::string().swap(m_buffer);
    m_buffer.append(bytes);
}

std::optional<RawEvent> EventSplitter::next()
{
    const std::string_view text = m_buffer;
    for (size_t position = text.find('\n', m_searched); position != std::string_view::npos;
         position = text.find('\n', position + 1)) {
        const size_t blank = blankLineAt(text, position);
        if (blank == 0)
            continue;
        const size_t end = position + blank;
        RawEvent event;
        event.m_bytes = text.substr(m_consumed, end - m_consumed);
        event.m_id = parseId(event.m_bytes);
        m_consumed = end;
        m_searched = end;
        return event;
    }
    // The last bytes may be the start of a blank line.
    const size_t searched = text.size() - std::min(text.size(), LongestBlankLine - 1);
    m_searched = std::max(m_consumed, searched);
    return std::nullopt;
}

} // namespace stackquay
