#include "net/http_target.h"

#include <algorithm>
#include <charconv>
#include <limits>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Boost.Beast stores lengths of fields in 16 bits, line ends included, and throws beyond.
constexpr size_t MaxFieldBytes = std::numeric_limits<uint16_t>::max() - 2;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7f;
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

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return byte < FirstPrintable || byte == Delete;
}

bool isBlank(char character)
{
    return character == ' ' || character == '\t';
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

bool isFieldName(std::string_view name)
{
    constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    return !name.empty() && name.size() <= MaxFieldBytes
           && std::all_of(name.begin(), name.end(), [Symbols](char character) {
                  return isAlphanumeric(character) || Symbols.find(character) != std::string::npos;
              });
}

/// Like isFieldValue(); blanks around the value are no part of it for its receiver.
bool isSendableValue(std::string_view value)
{
    return value.size() <= MaxFieldBytes
           && std::none_of(value.begin(), value.end(), [](char character) {
                  return isControl(character) && character != '\t';
              });
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

bool isFieldValue(std::string_view value)
{
    return isSendableValue(value)
           && (value.empty() || (!isBlank(value.front()) && !isBlank(value.back())));
}

Status checkFields(const HttpHeaders &headers)
{
    for (const HttpHeader &header : headers) {
        if (!isFieldName(header.m_name))
            return makeError(ErrorCode::InvalidArgument, "the name of a field is not a token");
        if (!isSendableValue(header.m_value))
            return makeError(
                ErrorCode::InvalidArgument,
                fmt::format("the value of field {} is too long or contains a control character",
                            header.m_name));
    }
    return {};
}

Status checkRequestHead(const HttpRequest &request)
{
    if (!isFieldName(request.m_method))
        return makeError(ErrorCode::InvalidArgument, "the method is not a token");
    const std::string &target = request.m_target;
    if (target.empty() || std::any_of(target.begin(), target.end(), [](char character) {
            return isControl(character) || character == ' ';
        }))
        return makeError(ErrorCode::InvalidArgument,
                         "the target is empty, or contains a blank or control character");
    return checkFields(request.m_headers);
}

} // namespace stackquay
