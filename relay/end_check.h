/// Tells an endpoint whose process has ended from one that only broke off an answer.
///
/// A connection that breaks says little: answers are spoilt, connections are reset, and links are
/// cut. Where the process has ended, its machine refuses a new connection, as nobody listens.
#pragma once

#include <memory>
#include <unordered_map>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// For the fibers of one thread.
class EndCheck
{
public:
    /// @p thread must be stopped before this is destroyed.
    explicit EndCheck(FiberThread &thread)
        : m_thread(thread)
    { }

    /// Opens a connection to the endpoint, for all fibers that ask within a moment together. False
    /// if somebody listens there, or if that cannot be told in time.
    bool hasEnded(const EndpointRecord &endpoint);

private:
    struct Probe {
        TimePoint m_begun{};
        bool m_done = false;
        bool m_refused = false;
    };

    void forgetOld(TimePoint now);

    FiberThread &m_thread;
    std::unordered_map<uint64_t, std::shared_ptr<Probe>> m_probes; ///< By the process.
};

} // namespace stackquay
