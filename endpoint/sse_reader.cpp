#include "endpoint/sse_reader.h"

namespace stackquay {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view DataField = "data:";

} // namespace

void SseReader::feed(std::string_view bytes)
{
    m_buffer.erase(0, m_position);
    m_position = 0;
    m_buffer.append(bytes);
}

bool SseReader::ready() const
{
    return m_buffer.find(EventEnd, m_position) != std::string::npos;
}

std::optional<std::string_view> SseReader::next()
{
    for (;;) {
        const size_t end = m_buffer.find(EventEnd, m_position);
        if (end == std::string::npos)
            return std::nullopt;
        std::string_view event = std::string_view(m_buffer).substr(m_position, end - m_position);
        m_position = end + EventEnd.size();
        if (event.substr(0, DataField.size()) != DataField)
            continue;
        event.remove_prefix(DataField.size());
        if (!event.empty() && event.front() == ' ')
            event.remove_prefix(1);
        return event;
    }
}

} // namespace stackquay
