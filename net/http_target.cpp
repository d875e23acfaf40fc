#include "net/http_target.h"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t EscapeDigits = 2;

bool isAlphanumeric(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
           || (character >= '0' && character <= '9');
}

bool isUnreserved(char character)
{
    return isAlphanumeric(character)
           || std::string_view("-._~").find(character) != std::string::npos;
}

/// The byte that the two digits at the start of @p text stand for.
std::optional<char> parseEscape(std::string_view text)
{
    constexpr int Hexadecimal = 16;
    const std::string_view digits = text.substr(0, EscapeDigits);
    unsigned char byte = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, Hexadecimal);
    if (digits.size() < EscapeDigits || error != std::errc()
        || end != digits.data() + digits.size())
        return std::nullopt;
    return static_cast<char>(byte);
}

} // namespace

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    encoded.reserve(text.size());
    for (const char character : text) {
        if (isUnreserved(character))
            encoded += character;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
    return encoded;
}

std::optional<std::string> percentDecode(std::string_view text)
{
    std::string decoded;
    decoded.reserve(text.size());
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] != '%') {
            decoded += text[i];
            continue;
        }
        const auto byte = parseEscape(text.substr(i + 1));
        if (!byte)
            return std::nullopt;
        decoded += *byte;
        i += EscapeDigits;
    }
    return decoded;
}

std::string writeTarget(const std::vector<std::string> &segments,
                        const std::vector<QueryParameter> &query)
{
    std::string target;
    for (const std::string &segment : segments)
        target += "/" + percentEncode(segment);
    char separator = '?';
    for (const QueryParameter &parameter : query) {
        target +=
            separator + percentEncode(parameter.m_name) + "=" + percentEncode(parameter.m_value);
        separator = '&';
    }
    return target;
}

bool isRequestTarget(std::string_view target)
{
    constexpr std::string_view Reserved = "!$&'()*+,;=:@/?";
    if (target.empty() || target.front() != '/')
        return false;
    const bool permitted = std::all_of(target.begin(), target.end(), [Reserved](char character) {
        return isUnreserved(character) || Reserved.find(character) != std::string::npos
               || character == '%';
    });
    return permitted && percentDecode(target).has_value();
}

} // namespace stackquay
