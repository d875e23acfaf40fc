#include "net/http_message.h"

#include <algorithm>

#include <boost/beast/core/string.hpp>

#include "net/http_target.h"

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

std::string HttpRequest::query(std::string_view name) const
{
    const std::string_view target = m_target;
    size_t start = target.find('?');
    while (start != std::string_view::npos) {
        const size_t end = target.find('&', start + 1);
        const std::string_view pair = target.substr(start + 1, end - start - 1);
        const size_t equals = std::min(pair.find('='), pair.size());
        if (pair.substr(0, equals) == name) {
            const std::string_view value = pair.substr(std::min(equals + 1, pair.size()));
            return percentDecode(value).value_or(std::string(value));
        }
        start = end;
    }
    return {};
}

} // namespace stackquay
