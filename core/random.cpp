#include "core/random.h"

#include <array>
#include <cstdint>

#include <fmt/format.h>
#include <sys/random.h>

namespace stackquay {

std::string randomToken()
{
    std::array<uint64_t, 2> words{};
    if (getrandom(words.data(), sizeof(words), 0) != sizeof(words))
        std::abort();
    return fmt::format("{:016x}{:016x}", words[0], words[1]);
}

} // namespace stackquay
