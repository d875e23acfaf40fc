/// Which VM may send the next probe of a request or part that crashes endpoints. The VMs take
/// turns, so that few probes are in flight and no single VM is needed for them.
#pragma once

#include <string>
#include <vector>

#include "core/core.h"
#include "policy/cells.h"

namespace stackquay {

struct ProbeTurn {
    std::string m_topic; ///< Differs from turn to turn.
};

/// The turn @p late after the probe was due; @p subject: hash of what is probed.
ProbeTurn probeTurn(uint64_t subject, Duration late, Duration turnLength);
/// Whether the turn is one of this cell.
bool isCellsTurn(const ProbeTurn &turn, const CellView &cell);
/// Whether @p self is among the first @p most of the VMs of its cell. @p peers: the other ones.
bool isAmongFirst(const ProbeTurn &turn, const VmId &self, const std::vector<VmId> &peers,
                  size_t most);

} // namespace stackquay
