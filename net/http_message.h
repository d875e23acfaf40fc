/// HTTP messages as plain structs; the parsing is Boost.Beast's.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct HttpHeader {
    std::string m_name;
    std::string m_value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// The value of the first header called @p name (any case), or an empty view.
std::string_view findHeader(const HttpHeaders &headers, std::string_view name);

/// Whether HTTP has this status: 100 to 599.
bool isHttpStatus(uint64_t status);

struct HttpRequest {
    std::string m_method = "GET";
    std::string m_target = "/"; ///< Path and query, as sent.
    HttpHeaders m_headers;
    std::string m_body;

    /// The target without its query.
    std::string_view path() const;
    /// The decoded value of a query parameter; empty if there is none. One that is not
    /// percent-encoded is returned as sent.
    std::string query(std::string_view name) const;
};

struct HttpResponse {
    unsigned m_status = 200;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace stackquay
