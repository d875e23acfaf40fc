#include "core/fingerprint.h"

#include <array>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <memory>

#include <fmt/format.h>
#include <openssl/evp.h>

namespace stackquay {

namespace {

constexpr size_t DigestBytes = 32;
constexpr size_t HexDigits = 16; ///< Of one half.

struct ContextDeleter {
    void operator()(EVP_MD_CTX *context) const { EVP_MD_CTX_free(context); }
};

/// The library can only fail here for want of memory.
void require(int result)
{
    if (result != 1)
        std::abort();
}

uint64_t halfFrom(std::string_view text, bool &valid)
{
    constexpr int Hex = 16;
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, Hex);
    valid = valid && error == std::errc() && end == text.data() + text.size();
    return value;
}

} // namespace

Fingerprint fingerprintOf(std::initializer_list<std::string_view> parts)
{
    const std::unique_ptr<EVP_MD_CTX, ContextDeleter> context(EVP_MD_CTX_new());
    require(context ? EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) : 0);
    for (const std::string_view part : parts) {
        const uint64_t size = part.size();
        require(EVP_DigestUpdate(context.get(), &size, sizeof(size)));
        require(EVP_DigestUpdate(context.get(), part.data(), part.size()));
    }
    std::array<unsigned char, DigestBytes> digest{};
    require(EVP_DigestFinal_ex(context.get(), digest.data(), nullptr));
    Fingerprint print;
    std::memcpy(&print.m_high, digest.data(), sizeof(print.m_high));
    std::memcpy(&print.m_low, digest.data() + sizeof(print.m_high), sizeof(print.m_low));
    return print;
}

std::string toString(const Fingerprint &print)
{
    return fmt::format("{:016x}{:016x}", print.m_high, print.m_low);
}

Fingerprint fingerprintFrom(std::string_view text)
{
    if (text.size() != 2 * HexDigits)
        return {};
    bool valid = true;
    const Fingerprint print{ halfFrom(text.substr(0, HexDigits), valid),
                             halfFrom(text.substr(HexDigits), valid) };
    return valid ? print : Fingerprint{};
}

} // namespace stackquay
