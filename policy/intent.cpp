#include "policy/intent.h"

#include <array>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <openssl/evp.h>

namespace stackquay {

std::string hashKey(std::string_view key)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    if (EVP_Digest(key.data(), key.size(), digest.data(), &size, EVP_sha256(), nullptr) != 1)
        std::abort();
    return fmt::format("{:02x}", fmt::join(digest.begin(), digest.begin() + size, ""));
}

} // namespace stackquay
