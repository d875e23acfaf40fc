#include "policy/probe_turn.h"

#include <algorithm>

namespace stackquay {

ProbeTurn probeTurn(uint64_t subject, Duration late, Duration turnLength)
{
    return { std::to_string(subject + static_cast<uint64_t>(late / turnLength)) };
}

bool isCellsTurn(const ProbeTurn &turn, const CellView &cell)
{
    return stableHash(turn.m_topic) % std::max(cell.m_cells, 1u) == cell.m_cell;
}

bool isAmongFirst(const ProbeTurn &turn, const VmId &self, const std::vector<VmId> &peers,
                  size_t most)
{
    const uint64_t own = rendezvousScore(turn.m_topic, self.str());
    const auto before = std::count_if(peers.begin(), peers.end(), [&](const VmId &peer) {
        return rendezvousScore(turn.m_topic, peer.str()) >= own;
    });
    return static_cast<size_t>(before) < most;
}

} // namespace stackquay
