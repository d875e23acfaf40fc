/// Distinguishes an endpoint whose process has exited from one that only broke off a response.
///
/// A broken connection alone does not show this: responses are corrupted, connections reset and
/// links cut. If the process has exited, its machine refuses new connections, because nothing
/// listens on the port.
#pragma once

#include <memory>
#include <unordered_map>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// For the fibers of one thread.
class ExitProbe
{
public:
    /// @p thread must be stopped before this object is destroyed.
    explicit ExitProbe(FiberThread &thread)
        : m_thread(thread)
    { }

    /// Whether the endpoint refuses a new connection. False if the connection succeeds, if the
    /// check times out or if the address is invalid. Blocks the fiber; concurrent and recent calls
    /// for one process share a connection attempt.
    bool hasExited(const EndpointRecord &endpoint);

private:
    struct Probe {
        TimePoint m_begun{};
        bool m_done = false;
        bool m_refused = false;
    };

    void dropExpired(TimePoint now);

    FiberThread &m_thread;
    std::unordered_map<uint64_t, std::shared_ptr<Probe>> m_probes; ///< By process key.
};

} // namespace stackquay
