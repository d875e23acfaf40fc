/// Endpoints that fail are left out for a while, from what this VM itself has seen of them.
///
/// Health answers and the directory may be wrong either way, and an endpoint may be bad for some
/// callers only, so each VM judges by its own outcomes and those of VMs in its data centre. A part
/// of each pool is always left in.
///
/// Each VM of a large fleet sees little of an endpoint. So the VMs tell each other of answers that
/// an endpoint broke off, and of its successes: an endpoint at which several VMs failed in a row is
/// left out by all. One VM alone, or one whose way there is bad, decides for itself only.
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

/// VMs that failed at an endpoint since its last success at any VM, as far as this one has heard.
struct SharedFailures {
    std::vector<uint64_t> m_vms; ///< Each once.
    TimePoint m_firstAt{};
    TimePoint m_lastAt{};
};

struct SharedFailureSettings {
    size_t m_vms = 3; ///< So many different VMs eject; more than one may be wrong.
    size_t m_vmsOnTrial = 2; ///< Where several were right before.
    /// Unless more than this part of all endpoints failed lately: what breaks off answers
    /// everywhere is not an endpoint.
    double m_mostFailing = 0.2;
    /// Connections that are reset together say nothing of an endpoint either.
    Millis m_leastSpan{ 20 };
    /// Failures further apart are not of one fault; an endpoint in use succeeds between.
    Millis m_memory{ 2'000 };
};

struct EjectionTable {
    /// Two in a row eject; short, as a worker that is back has a new id, and one that is slow for a
    /// moment is needed.
    EjectionSettings m_settings{ 2, Millis(1'000), Millis(8'000) };
    SharedFailureSettings m_sharedSettings;
    std::unordered_map<EndpointId, EndpointHealth> m_endpoints;
    std::unordered_map<EndpointId, SharedFailures> m_shared;
};

/// Returns whether the endpoint is ejected by this failure.
bool recordFailure(EjectionTable &table, const EndpointId &endpoint, FailureWeight weight,
                   TimePoint now);
void recordSuccess(EjectionTable &table, const EndpointId &endpoint);
/// The endpoint, one of @p endpoints, broke off an answer to @p vm, this one or another. Returns
/// whether it is ejected by this failure.
bool recordSharedFailure(EjectionTable &table, const EndpointId &endpoint, size_t endpoints,
                         uint64_t vm, TimePoint now);
/// It answered another VM, which says nothing of this one's own way there.
void recordSharedSuccess(EjectionTable &table, const EndpointId &endpoint);
bool isEjected(const EjectionTable &table, const EndpointId &endpoint, TimePoint now);

/// Endpoints of a pool that stay in at least, as a share: in a cut data centre of three, a third of
/// the endpoints can be reached.
constexpr double LeastHealthyShare = 0.25;

/// Those of @p pool that are not ejected; all, if too few would be left.
std::vector<EndpointRecord> healthyOf(const EjectionTable &table, std::vector<EndpointRecord> pool,
                                      TimePoint now);

} // namespace stackquay
