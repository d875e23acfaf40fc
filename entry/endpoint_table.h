/// What this VM knows of its data centre's endpoints besides the intent: their health as seen by
/// its own requests, and the load that they report. Shared by all threads; no lock is held across
/// I/O.
#pragma once

#include <mutex>
#include <unordered_map>

#include "entry/routing_view.h"

namespace stackquay {

class EndpointTable
{
public:
    /// The endpoints of a route, in its order.
    std::vector<EndpointView> views(const std::vector<EndpointRoute> &routes) const;
    void noteStarted(const EndpointId &id);
    void noteEnded(const EndpointId &id);
    void noteSuccess(const EndpointId &id);
    /// Counts a failure that the endpoint is to blame for.
    void noteFailure(const EndpointId &id, TimePoint now);
    void setReported(const EndpointId &id, const ReportedLoad &load);

private:
    struct Entry {
        EndpointHealth m_health;
        ReportedLoad m_reported;
        uint32_t m_ownInFlight = 0;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<EndpointId, Entry> m_entries;
};

} // namespace stackquay
