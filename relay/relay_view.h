/// State that the control thread publishes to the traffic thread: immutable, replaced as a whole.
#pragma once

#include <memory>
#include <unordered_map>
#include <vector>

#include "policy/policy.h"
#include "relay/relay_settings.h"

namespace stackquay {

struct RelayView {
    RouteTablePtr m_routes; ///< Null until the first version is known.
    FreshnessProof m_proof; ///< Freshness proof for m_routes.
    EndpointDirectoryPtr m_directory; ///< Null until the first one is known.
    /// Endpoints that accept new work, by service; for engines, only those of this VM's cell.
    std::unordered_map<ServiceId, std::vector<EndpointRecord>> m_pools;
    CellView m_cell;
    RelayBounds m_bounds;
    uint32_t m_vms = 1; ///< The highest number of VMs known at the same time, including this one.
    DrainPlan m_drain;

    bool complete() const { return m_routes && m_directory; }
};

using RelayViewPtr = std::shared_ptr<const RelayView>;

/// The endpoints of @p service that accept new work; null if there are none.
const std::vector<EndpointRecord> *poolOf(const RelayView &view, const ServiceId &service);

/// Rebuilds the pools from the directory: endpoints that are not draining, sorted by id. Call it
/// after a change of the directory, the routes or the cell.
void rebuildPools(RelayView &view);

} // namespace stackquay
