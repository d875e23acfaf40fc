/// The body of an error response of the server's own. Internal to the library.
#pragma once

#include <string>
#include <string_view>

#include <fmt/format.h>

namespace stackquay {

inline std::string errorBody(unsigned status, std::string_view message)
{
    return fmt::format(R"({{"error":{{"message":"{}","type":"invalid_request_error","code":{}}}}})",
                       message, status);
}

} // namespace stackquay
