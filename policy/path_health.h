/// Whether this VM's own network path to the endpoints works, from the results of its connections.
///
/// A VM that is cut off from the endpoints sees nearly all of them fail. That is no evidence
/// against any endpoint, and a VM that reaches them can serve its requests. Many recent failures
/// beside few successes therefore count against the path, not against the endpoints.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"

namespace stackquay {

struct PathHealthSettings {
    /// Different endpoints that were not reached lately.
    size_t m_minUnreached = 3;
    /// For each endpoint that was reached lately, so many were not.
    size_t m_unreachedPerReached = 4;
    /// Older results say nothing about the path.
    Millis m_window{ 2'000 };
};

class PathHealth
{
public:
    explicit PathHealth(PathHealthSettings settings = {})
        : m_settings(settings)
    { }

    /// Records that @p endpoint answered.
    void recordReached(const EndpointRecord &endpoint, TimePoint now);
    /// Records that @p endpoint did not accept a connection, or broke it before it answered.
    /// @p endpoints: all that are known.
    void recordUnreached(const EndpointRecord &endpoint,
                         const std::vector<EndpointRecord> &endpoints, TimePoint now);
    /// Whether this VM reaches no endpoint, or too few to serve its requests. Ends when it reaches
    /// more of them than it does not.
    bool isIsolated() const { return m_isolated; }
    /// Whether no endpoint was reached since one was not.
    bool isDoubtful() const { return m_doubtful; }
    /// Whether @p endpoint was not reached when it was last tried, lately.
    bool isUnreached(const EndpointId &endpoint) const;

private:
    struct Result {
        bool m_reached = false;
        DataCentreId m_dataCentre;
        TimePoint m_at{};
    };

    void record(const EndpointRecord &endpoint, bool reached, TimePoint now);
    size_t count(bool reached) const;
    /// Number of data centres with endpoints that were not reached.
    size_t unreachedDataCentres() const;

    PathHealthSettings m_settings;
    std::unordered_map<EndpointId, Result> m_results; ///< The last one of each, within the window.
    bool m_isolated = false;
    bool m_doubtful = false;
};

/// Another VM that can serve requests for this one.
struct ForwardPeer {
    VmId m_vm;
    DataCentreId m_dataCentre;
    std::string m_address; ///< Where it takes the requests of other VMs.
    uint32_t m_millicores = 0;
};

/// Draws the peer to which a request is forwarded, weighted by processor share, because all VMs
/// that still reach endpoints have to share the load; those of @p dataCentre are preferred. @p draw
/// is a random number in [0, 1). Null if all of @p peers are in @p tried.
const ForwardPeer *chooseForwardPeer(const std::vector<ForwardPeer> &peers,
                                     const DataCentreId &dataCentre, const std::vector<VmId> &tried,
                                     double draw);

} // namespace stackquay
