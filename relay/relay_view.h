/// State that the control thread publishes to the traffic thread: immutable, replaced as a whole.
#pragma once

#include <memory>
#include <unordered_map>
#include <unordered_set>
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

    Evacuations m_evacuations;
    /// Services whose endpoints are all in evacuated data centres.
    std::unordered_set<ServiceId> m_evacuatedServices;
    std::vector<VmId> m_peers; ///< The live VMs of the cell, without this one.
    bool m_peersKnown = false; ///< See FleetView.
    /// This VM's share of the requests to cold endpoints; none to those without entry.
    std::unordered_map<EndpointId, SendShare> m_coldShares;

    bool complete() const
    {
        return m_routes && m_directory
               && (m_evacuations.m_position.known() || m_bounds.m_evacuationTime == Millis(0));
    }
};

using RelayViewPtr = std::shared_ptr<const RelayView>;

/// The endpoints of @p service that accept new work; null if there are none.
const std::vector<EndpointRecord> *poolOf(const RelayView &view, const ServiceId &service);

/// Whether @p endpoint is a model engine. Engines are divided among cells; endpoints of plain
/// services are used by the VMs of all cells.
bool isEngine(const RelayView &view, const EndpointRecord &endpoint);
/// Rebuilds the pools from the directory: endpoints that are neither draining nor evacuated, sorted
/// by id. Call it after a change of the directory, the routes, the evacuations or the cell.
void rebuildPools(RelayView &view);
/// Rebuilds m_coldShares for the VM @p self. Call it after a change of the directory, the routes or
/// the peers.
void rebuildColdShares(RelayView &view, const VmId &self);
/// Whether requests to @p endpoint are limited to m_coldShares at @p now.
bool isColdLimited(const RelayView &view, const EndpointId &endpoint, TimePoint now);

} // namespace stackquay
