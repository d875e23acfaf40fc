/// Random numbers: unguessable identifiers and a generator to pass by argument.
#pragma once

#include <random>
#include <string>

namespace stackquay {

using RandomEngine = std::mt19937_64;

/// 128 bits from the operating system's source, as 32 hex digits.
std::string randomToken();

} // namespace stackquay
