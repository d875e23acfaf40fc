#include <gtest/gtest.h>

#include <map>
#include <set>

#include <fmt/format.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

std::vector<EndpointRecord> engines(size_t count, size_t dataCentres)
{
    std::vector<EndpointRecord> pool;
    for (size_t i = 0; i < count; ++i) {
        EndpointRecord engine;
        engine.m_id = EndpointId(fmt::format("i-{:05}", i * 7919 % 100'003));
        engine.m_dataCentre = DataCentreId(fmt::format("dc-{}", i % dataCentres));
        pool.push_back(engine);
    }
    std::sort(pool.begin(), pool.end(),
              [](const auto &left, const auto &right) { return left.m_id < right.m_id; });
    return pool;
}

std::map<EndpointId, uint32_t> cellsOf(const std::vector<EndpointRecord> &pool, uint32_t cells)
{
    std::map<EndpointId, uint32_t> assigned;
    for (uint32_t cell = 0; cell < cells; ++cell) {
        for (const EndpointRecord &engine : endpointsOfCell(pool, { cell, cells }))
            EXPECT_TRUE(assigned.emplace(engine.m_id, cell).second) << engine.m_id.str();
    }
    return assigned;
}

TEST(CellsTest, SmallFleetIsOneCell)
{
    EXPECT_EQ(cellCount(0), 1u);
    EXPECT_EQ(cellCount(1), 1u);
    EXPECT_EQ(cellCount(MaxVmsPerCell), 1u);
    EXPECT_EQ(cellCount(MaxVmsPerCell + 1), 2u);
    EXPECT_EQ(cellCount(295), 4u);
    EXPECT_EQ(cellCount(1'200), 16u);
    const auto pool = engines(18, 3);
    EXPECT_EQ(endpointsOfCell(pool, cellViewOf(VmId("front-1"), 90)), pool);
}

// When the number of cells doubles, each cell is split, so a VM with an outdated fleet size still
// has all peers of its new cell among those of its old one.
TEST(CellsTest, DoublingTheCellsSplitsEachCell)
{
    for (int i = 0; i < 1'000; ++i) {
        const VmId vm(fmt::format("front-{}", i));
        EXPECT_EQ(cellOf(vm, 8) % 4, cellOf(vm, 4));
        EXPECT_LT(cellOf(vm, 4), 4u);
    }
}

TEST(CellsTest, EachEngineIsInOneCellAndCellsAreBalanced)
{
    for (const size_t count : { 8, 37, 150, 1'500 }) {
        SCOPED_TRACE(count);
        constexpr uint32_t Cells = 4;
        constexpr size_t DataCentres = 5;
        const auto pool = engines(count, DataCentres);
        const auto assigned = cellsOf(pool, Cells);
        EXPECT_EQ(assigned.size(), count);
        for (uint32_t cell = 0; cell < Cells; ++cell) {
            const size_t own = endpointsOfCell(pool, { cell, Cells }).size();
            EXPECT_LE(own, (count + Cells - 1) / Cells);
            EXPECT_GE(own + Cells, count / Cells);
        }
    }
}

// A data centre that is cut off has only its own engines, so each cell needs some of them.
TEST(CellsTest, EachCellHasEnginesInEachDataCentre)
{
    constexpr uint32_t Cells = 4;
    const auto pool = engines(150, 5);
    for (uint32_t cell = 0; cell < Cells; ++cell) {
        std::map<DataCentreId, size_t> enginesByDataCentre;
        for (const EndpointRecord &engine : endpointsOfCell(pool, { cell, Cells }))
            ++enginesByDataCentre[engine.m_dataCentre];
        EXPECT_EQ(enginesByDataCentre.size(), 5u);
        for (const auto &[dataCentre, count] : enginesByDataCentre)
            EXPECT_GE(count, 4u) << dataCentre.str();
    }
}

TEST(CellsTest, RemovingAnEngineMovesFewOthers)
{
    constexpr uint32_t Cells = 4;
    const auto pool = engines(150, 5);
    const auto before = cellsOf(pool, Cells);
    size_t moved = 0;
    for (size_t removed = 0; removed < pool.size(); ++removed) {
        auto fewer = pool;
        fewer.erase(fewer.begin() + static_cast<ptrdiff_t>(removed));
        for (const auto &[id, cell] : cellsOf(fewer, Cells))
            moved += before.at(id) != cell;
    }
    EXPECT_LT(static_cast<double>(moved) / static_cast<double>(pool.size()), 12);
}

TEST(CellsTest, CellWithoutEnginesUsesTheWholePool)
{
    const auto pool = engines(2, 1);
    size_t cellsWithWholePool = 0;
    for (uint32_t cell = 0; cell < 4; ++cell)
        cellsWithWholePool += endpointsOfCell(pool, { cell, 4 }).size() == pool.size();
    EXPECT_GE(cellsWithWholePool, 2u);
}

} // namespace
} // namespace stackquay
