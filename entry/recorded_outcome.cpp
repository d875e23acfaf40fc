#include "entry/recorded_outcome.h"

#include <openssl/evp.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

constexpr size_t PlainGroup = 3; ///< Bytes of one base64 group.
constexpr size_t CodedGroup = 4; ///< Characters of one base64 group.

std::string encodeBase64(const std::string &plain)
{
    std::string coded((plain.size() + PlainGroup - 1) / PlainGroup * CodedGroup + 1, '\0');
    const int size = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(coded.data()),
                                     reinterpret_cast<const unsigned char *>(plain.data()),
                                     static_cast<int>(plain.size()));
    coded.resize(static_cast<size_t>(size));
    return coded;
}

/// OpenSSL decodes padding to zero bytes, so the plain size has to be stored and passed in.
std::optional<std::string> decodeBase64(const std::string &coded, size_t plainSize)
{
    std::string plain(coded.size() / CodedGroup * PlainGroup + 1, '\0');
    const int size = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(plain.data()),
                                     reinterpret_cast<const unsigned char *>(coded.data()),
                                     static_cast<int>(coded.size()));
    if (size < 0 || static_cast<size_t>(size) < plainSize)
        return std::nullopt;
    plain.resize(plainSize);
    return plain;
}

Refusal unknownOutcome(std::string message)
{
    Refusal refusal;
    refusal.m_error = RequestError::OutcomeUnknown;
    refusal.m_outcome = Outcome::FailedMayHaveRun;
    refusal.m_message = std::move(message);
    return refusal;
}

} // namespace

std::string encodeRecordedOutcome(const tl::expected<HttpResponse, Refusal> &outcome)
{
    if (!outcome)
        return Json{ { "failed", outcome.error().m_message } }.dump(-1, ' ', true,
                                                                    Json::error_handler_t::replace);
    Json headers = Json::array();
    for (const HttpHeader &header : outcome->m_headers)
        headers.push_back({ header.m_name, encodeBase64(header.m_value), header.m_value.size() });
    const Json json{ { "status", outcome->m_status },
                     { "headers", headers },
                     { "size", outcome->m_body.size() },
                     { "body", encodeBase64(outcome->m_body) } };
    return json.dump(-1, ' ', true, Json::error_handler_t::replace);
}

tl::expected<HttpResponse, Refusal> decodeRecordedOutcome(const std::string &text)
{
    const auto parsed = parseJsonObject(text);
    if (!parsed)
        return tl::unexpected(unknownOutcome("the recorded outcome is not valid"));
    const Json &json = *parsed;
    if (json.contains("failed"))
        return tl::unexpected(unknownOutcome("the call with this key failed and may have run"));
    HttpResponse response;
    const auto status = uintField(json, "status");
    const auto size = uintField(json, "size");
    const auto coded = stringField(json, "body");
    const auto body = size && coded ? decodeBase64(*coded, *size) : std::nullopt;
    if (!body || !status || !isHttpStatus(*status))
        return tl::unexpected(unknownOutcome("the recorded outcome is not valid"));
    response.m_status = static_cast<unsigned>(*status);
    response.m_body = *body;
    for (const Json &header : arrayField(json, "headers")) {
        if (!header.is_array() || header.size() != 3 || !header[0].is_string()
            || !header[1].is_string() || !header[2].is_number_unsigned())
            continue;
        const auto value = decodeBase64(header[1].get<std::string>(), header[2].get<size_t>());
        if (value)
            response.m_headers.push_back({ header[0].get<std::string>(), *value });
    }
    return response;
}

} // namespace stackquay
