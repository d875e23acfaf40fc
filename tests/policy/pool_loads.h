/// Loads for the simulated pool, as the users' sheets declare them.
#pragma once

#include <string>
#include <vector>

#include "pool_sim.h"

namespace stackquay {

/// Costs of the engines that most of the sheets declare.
EngineCosts declaredCosts(uint32_t slots, uint32_t stride);

struct NamedLoad {
    std::string m_name;
    PoolLoad m_load;
};

/// One for each kind of deployment; of the large one, the share of a cell. Phases of many long
/// prompts take turns with phases of many short ones.
std::vector<NamedLoad> declaredLoads();

} // namespace stackquay
