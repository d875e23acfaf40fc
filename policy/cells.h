/// Divides a large fleet into cells that place requests independently of each other.
///
/// VMs announce every placement to each other, so that each has the load of all engines. The
/// message rate per VM grows with the size of the fleet: 295 VMs at 266 requests per second
/// exchange 235,000 datagrams per second in total. A large fleet is therefore divided into cells.
/// Each cell has VMs and engines in all data centres; its VMs exchange messages only with each
/// other and place requests only on the engines of the cell. Clients connect to VMs of all cells,
/// so a shift of load between data centres leaves the share of each cell unchanged.
///
/// VMs and engines are assigned to cells by hashing, without coordination. VMs with different views
/// of the fleet size choose worse endpoints until the views agree, with no other effect. When the
/// number of cells doubles, each cell is split into two.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/endpoint_directory.h"

namespace stackquay {

/// Fleets up to this size form a single cell. For each request, a VM sends about 3 messages to each
/// other VM of its cell.
constexpr uint32_t MaxVmsPerCell = 128;

/// The cell of one VM, and the number of cells in the fleet.
struct CellView {
    uint32_t m_cell = 0;
    uint32_t m_cells = 1; ///< Number of cells; a power of two.

    bool operator==(const CellView &) const = default;
};

/// Number of cells for a fleet of @p vms VMs: the smallest power of two for which a cell has at
/// most MaxVmsPerCell VMs on average. At least 1.
uint32_t cellCount(uint32_t vms);
/// The cell of @p vm, from 0 to @p cells - 1. @p cells is a power of two.
uint32_t cellOf(const VmId &vm, uint32_t cells);
/// The cell of @p vm in a fleet of @p vms VMs.
CellView cellViewOf(const VmId &vm, uint32_t vms);

/// The engines of @p pool that belong to the cell of @p view. @p pool is sorted by id. Engines are
/// spread evenly over the cells, in total and in each data centre. Adding or removing an engine
/// moves few others. Returns all of @p pool if the cell would have no engine.
std::vector<EndpointRecord> endpointsOfCell(const std::vector<EndpointRecord> &pool,
                                            const CellView &view);

/// Whether the VMs of the cell of @p view may send to an endpoint that all cells use while its
/// requests are limited. One cell may, because a limit divided by the number of cells is below one
/// request.
bool ownsSharedEndpoint(const EndpointId &endpoint, const CellView &view);

} // namespace stackquay
