#include "policy/cells.h"

#include <algorithm>
#include <bit>
#include <map>
#include <numeric>

#include "core/hash.h"

namespace stackquay {

namespace {

/// Largest number of engines of one cell when they are spread evenly.
size_t maxEnginesPerCell(size_t engineCount, uint32_t cells)
{
    return (engineCount + cells - 1) / cells;
}

/// The cells in the order in which an engine is offered to them (rendezvous hashing).
std::vector<uint32_t> cellsByPreference(const EndpointId &engine, uint32_t cells)
{
    const uint64_t seed = stableHash(engine.str());
    std::vector<uint32_t> order(cells);
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [seed](uint32_t left, uint32_t right) {
        const auto scoreOf = [seed](uint32_t cell) {
            return XXH3_64bits_withSeed(&cell, sizeof(cell), seed);
        };
        return scoreOf(left) > scoreOf(right);
    });
    return order;
}

/// Assigns engines to cells: to the most preferred one that is below its share in total and in the
/// engine's data centre, else to the most preferred one that is below its share in total.
class CellAssignment
{
public:
    CellAssignment(const std::vector<EndpointRecord> &pool, uint32_t cells)
        : m_cells(cells)
        , m_maxPerCell(maxEnginesPerCell(pool.size(), cells))
        , m_perCell(cells, 0)
    {
        for (const EndpointRecord &engine : pool)
            ++m_enginesInDataCentre[engine.m_dataCentre];
        for (const auto &[dataCentre, engineCount] : m_enginesInDataCentre)
            m_perDataCentre[dataCentre].assign(cells, 0);
    }

    /// Returns the cell of @p engine. Depends on the engines assigned before.
    uint32_t assign(const EndpointRecord &engine)
    {
        const auto order = cellsByPreference(engine.m_id, m_cells);
        std::vector<size_t> &inDataCentre = m_perDataCentre[engine.m_dataCentre];
        const size_t maxInDataCentre =
            maxEnginesPerCell(m_enginesInDataCentre[engine.m_dataCentre], m_cells);
        auto found = std::find_if(order.begin(), order.end(), [&](uint32_t cell) {
            return m_perCell[cell] < m_maxPerCell && inDataCentre[cell] < maxInDataCentre;
        });
        if (found == order.end())
            found = std::find_if(order.begin(), order.end(),
                                 [&](uint32_t cell) { return m_perCell[cell] < m_maxPerCell; });
        const uint32_t cell = found == order.end() ? order.front() : *found;
        ++m_perCell[cell];
        ++inDataCentre[cell];
        return cell;
    }

private:
    uint32_t m_cells;
    size_t m_maxPerCell;
    std::vector<size_t> m_perCell;
    std::map<DataCentreId, size_t> m_enginesInDataCentre;
    std::map<DataCentreId, std::vector<size_t>> m_perDataCentre;
};

} // namespace

uint32_t cellCount(uint32_t vms)
{
    const uint32_t least = (std::max(vms, 1u) + MaxVmsPerCell - 1) / MaxVmsPerCell;
    return std::bit_ceil(least);
}

uint32_t cellOf(const VmId &vm, uint32_t cells)
{
    return static_cast<uint32_t>(stableHash(vm.str()) & (cells - 1));
}

CellView cellViewOf(const VmId &vm, uint32_t vms)
{
    const uint32_t cells = cellCount(vms);
    return { cellOf(vm, cells), cells };
}

std::vector<EndpointRecord> endpointsOfCell(const std::vector<EndpointRecord> &pool,
                                            const CellView &view)
{
    if (view.m_cells <= 1)
        return pool;
    CellAssignment cellAssignment(pool, view.m_cells);
    std::vector<EndpointRecord> own;
    for (const EndpointRecord &engine : pool) {
        if (cellAssignment.assign(engine) == view.m_cell)
            own.push_back(engine);
    }
    return own.empty() ? pool : own;
}

bool ownsSharedEndpoint(const EndpointId &endpoint, const CellView &view)
{
    return stableHash(endpoint.str()) % view.m_cells == view.m_cell;
}

} // namespace stackquay
