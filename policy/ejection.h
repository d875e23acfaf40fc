/// Endpoints that fail are left out for a while, from what this VM itself has seen of them.
///
/// Health answers and the directory may be wrong either way, and an endpoint may be bad for some
/// callers only, so each VM judges by its own outcomes and those of VMs in its data centre. A part
/// of each pool is always left in.
#pragma once

#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/choose_endpoint.h"
#include "policy/endpoint_directory.h"

namespace stackquay {

/// How telling a failure is, as the failures in a row that it counts for.
enum class FailureWeight : uint32_t {
    None = 0, ///< A full endpoint: it works.
    Chance = 1, ///< One answer lost or spoilt.
    Telling = 2, ///< No connection, or another process at the address.
};

struct EjectionTable {
    /// Two in a row eject; short, as a worker that is back has a new id, and one that is slow for a
    /// moment is needed.
    EjectionSettings m_settings{ 2, Millis(1'000), Millis(8'000) };
    std::unordered_map<EndpointId, EndpointHealth> m_endpoints;
};

/// Returns whether the endpoint is ejected by this failure.
bool recordFailure(EjectionTable &table, const EndpointId &endpoint, FailureWeight weight,
                   TimePoint now);
void recordSuccess(EjectionTable &table, const EndpointId &endpoint);
bool isEjected(const EjectionTable &table, const EndpointId &endpoint, TimePoint now);

/// Endpoints of a pool that stay in at least, as a share: in a cut data centre of three, a third of
/// the endpoints can be reached.
constexpr double LeastHealthyShare = 0.25;

/// Those of @p pool that are not ejected; all, if too few would be left.
std::vector<EndpointRecord> healthyOf(const EjectionTable &table, std::vector<EndpointRecord> pool,
                                      TimePoint now);

} // namespace stackquay
