/// Data centres that operators evacuate. No new request is sent to their endpoints; what already
/// runs there finishes there.
///
/// The list is a copy of the entries in the platform's store, like the endpoint directory. Store
/// watchers read it, and the other VMs receive it from them.
#pragma once

#include <set>
#include <vector>

#include "core/core.h"
#include "policy/store_position.h"

namespace stackquay {

struct Evacuations {
    StorePosition m_position; ///< Where the list was read; unknown if the VM has none yet.
    std::set<DataCentreId> m_dataCentres;

    bool contains(const DataCentreId &dataCentre) const
    {
        return m_dataCentres.count(dataCentre) > 0;
    }
};

/// Replaces @p own by @p offered if that was read later. Returns whether it did.
bool mergeEvacuations(Evacuations &own, const Evacuations &offered);

} // namespace stackquay
