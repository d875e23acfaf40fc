/// Watches whether this VM reaches the endpoints, and holds back what it would tell the other VMs
/// about an endpoint until it has reached another one.
///
/// While no endpoint was reached since a failure, it probes others: soon after the failure, so that
/// a VM with few requests knows its state too, and then periodically until one answers.
#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "policy/policy.h"

namespace stackquay {

struct RelayNode;

/// Used on the traffic thread only.
class PathMonitor
{
public:
    /// @p node must outlive the thread's fibers.
    explicit PathMonitor(RelayNode &node)
        : m_node(node)
    { }

    /// Records that an endpoint answered.
    void noteReached(const EndpointRecord &endpoint);
    /// Records that @p endpoint did not accept a connection, or broke it before it answered.
    void noteUnreached(const EndpointRecord &endpoint);
    /// Runs @p report, which blames an endpoint, once this VM reaches another endpoint; drops it if
    /// the VM turns out to be isolated.
    void reportOnceReached(std::function<void()> report);
    /// Whether another endpoint than @p endpoint answers; true if there is none. Blocks
    /// the fiber.
    bool reachesOthers(const EndpointRecord &endpoint);
    /// Whether this VM reaches no endpoint, or too few.
    bool isIsolated() const { return m_health.isIsolated(); }

private:
    void start();
    /// Probes an endpoint other than @p except; unless the VM is isolated, one that was not
    /// unreached lately, if there is one. Returns whether it answers; nothing if there is none.
    std::optional<bool> probe(const EndpointId &except = {});
    std::vector<EndpointRecord> endpoints() const;
    /// Publishes and logs that isIsolated() changed.
    void noteChange();

    RelayNode &m_node;
    PathHealth m_health;
    std::vector<std::function<void()>> m_reports; ///< See reportOnceReached().
    bool m_probing = false;
};

} // namespace stackquay
