/// A position in the history of the platform's store.
///
/// The store numbers its changes by revisions. After a restore from a backup it assigns revisions
/// again, under a higher era. A revision alone is therefore ambiguous.
#pragma once

#include <compare>
#include <cstdint>

#include <msgpack.hpp>

namespace stackquay {

struct StorePosition {
    uint64_t m_era = 0; ///< Raised by each restore. Zero: the store reports none.
    uint64_t m_revision = 0; ///< Zero: unknown position.

    auto operator<=>(const StorePosition &) const = default;
    bool known() const { return m_revision != 0; }
    MSGPACK_DEFINE(m_era, m_revision)
};

} // namespace stackquay
