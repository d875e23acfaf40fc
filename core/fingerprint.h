/// A name for a request by what it says, the same on every VM and for each try.
///
/// 128 bits of SHA-256: whoever chooses the content cannot make two requests share a name, and the
/// name does not tell the content, which is private. The outline, which reads no body, tells most
/// requests apart for less.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <msgpack.hpp>

namespace stackquay {

struct Fingerprint {
    uint64_t m_outline = 0;
    uint64_t m_high = 0;
    uint64_t m_low = 0;

    bool operator==(const Fingerprint &) const = default;
    auto operator<=>(const Fingerprint &) const = default;
    MSGPACK_DEFINE(m_outline, m_high, m_low)
};

/// What a request says but for its body.
using RequestParts = std::initializer_list<std::string_view>;

/// Of the parts in their order, and the length of the body. Callers can make two share one.
uint64_t outlineOf(RequestParts parts, size_t bodyBytes);
/// Of the parts in their order and the body; parts of other lengths give another name, though they
/// join to the same text. Reads every byte: to be called only where the outline is not enough.
Fingerprint fingerprintOf(RequestParts parts, std::string_view body);

/// 48 hex digits.
std::string toString(const Fingerprint &print);
/// Zero if @p text is not what toString() writes.
Fingerprint fingerprintFrom(std::string_view text);

struct FingerprintHash {
    size_t operator()(const Fingerprint &print) const noexcept { return print.m_low; }
};

} // namespace stackquay
