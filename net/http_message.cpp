#include "net/http_message.h"

#include <boost/beast/core/string.hpp>

namespace stackquay {

std::string_view findHeader(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals(
                boost::beast::string_view(header.m_name.data(), header.m_name.size()),
                boost::beast::string_view(name.data(), name.size())))
            return header.m_value;
    }
    return {};
}

bool isHttpStatus(uint64_t status)
{
    constexpr uint64_t Min = 100;
    constexpr uint64_t Max = 599;
    return status >= Min && status <= Max;
}

std::string_view HttpRequest::path() const
{
    const std::string_view target = m_target;
    return target.substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const
{
    const std::string_view target = m_target;
    size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const size_t end = target.find('&', start + 1);
        const std::string_view pair = target.substr(start + 1, end - start - 1);
        const size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        start = end;
    }
    return {};
}

} // namespace stackquay
