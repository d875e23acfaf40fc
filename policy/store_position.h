/// A place in the history of the platform's store.
///
/// The store numbers its changes. When it comes back from a copy it gives numbers out again, and
/// says so by a higher era: a number alone names no place.
#pragma once

#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace stackquay {

struct StorePosition {
    uint64_t m_era = 0; ///< Zero: the store tells none.
    uint64_t m_revision = 0; ///< Zero: no place.

    auto operator<=>(const StorePosition &) const = default;
    bool known() const { return m_revision != 0; }
    MSGPACK_DEFINE(m_era, m_revision)
};

} // namespace stackquay
