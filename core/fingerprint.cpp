#include "core/fingerprint.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <memory>

#include <fmt/format.h>
#include <openssl/evp.h>

#include "core/hash.h"

namespace stackquay {

namespace {

constexpr size_t DigestBytes = 32;
constexpr size_t HexDigits = 16; ///< Of one field.

struct ContextDeleter {
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};

/// The library can only fail here for want of memory.
void require(int result)
{
    if (result != 1)
        std::abort();
}

/// With its length, so that the bounds of the parts count too.
void add(EVP_MD_CTX *context, std::string_view part)
{
    const uint64_t size = part.size();
    require(EVP_DigestUpdate(context, &size, sizeof(size)));
    require(EVP_DigestUpdate(context, part.data(), part.size()));
}

uint64_t fieldFrom(std::string_view text, bool &valid)
{
    constexpr int Hex = 16;
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, Hex);
    valid = valid && error == std::errc() && end == text.data() + text.size();
    return value;
}

} // namespace

uint64_t outlineOf(RequestParts parts, size_t bodyBytes)
{
    uint64_t outline = bodyBytes;
    for (const std::string_view part : parts)
        outline = stableHash(part, outline);
    return outline;
}

Fingerprint fingerprintOf(RequestParts parts, std::string_view body)
{
    const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(EVP_MD_CTX_new());
    require(context ? EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) : 0);
    for (const std::string_view part : parts)
        add(context.get(), part);
    add(context.get(), body);
    std::array<unsigned char, DigestBytes> digest{};
    require(EVP_DigestFinal_ex(context.get(), digest.data(), nullptr));
    Fingerprint print;
    print.m_outline = outlineOf(parts, body.size());
    std::memcpy(&print.m_high, digest.data(), sizeof(print.m_high));
    std::memcpy(&print.m_low, digest.data() + sizeof(print.m_high), sizeof(print.m_low));
    return print;
}

std::string toString(const Fingerprint &print)
{
    return fmt::format("{:016x}{:016x}{:016x}", print.m_outline, print.m_high, print.m_low);
}

Fingerprint fingerprintFrom(std::string_view text)
{
    constexpr size_t Fields = 3;
    if (text.size() != Fields * HexDigits)
        return {};
    bool valid = true;
    const Fingerprint print{ fieldFrom(text.substr(0, HexDigits), valid),
                             fieldFrom(text.substr(HexDigits, HexDigits), valid),
                             fieldFrom(text.substr(2 * HexDigits), valid) };
    return valid ? print : Fingerprint{};
}

} // namespace stackquay
