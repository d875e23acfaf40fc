/// Loads for the simulated pool, as declared by the users' specification.
#pragma once

#include <string>
#include <vector>

#include "pool_sim.h"

namespace stackquay {

/// Costs of the engine type of most declared deployments.
EngineCosts declaredCosts(uint32_t slots, uint32_t stride);

struct NamedLoad {
    std::string m_name;
    PoolLoad m_load;
};

/// One load for each kind of deployment; for the large one, the load of one cell. Phases with many
/// long prompts alternate with phases with many short ones.
std::vector<NamedLoad> declaredLoads();

} // namespace stackquay
