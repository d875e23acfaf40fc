/// Runtime state of the endpoints of this data centre: their health as observed by this VM's
/// requests, and the load that they report. Shared by all threads; no lock is held across I/O.
#pragma once

#include <mutex>
#include <unordered_map>

#include "entry/routing_view.h"

namespace stackquay {

class EndpointTable
{
public:
    /// State of the endpoints of @p routes, in the same order.
    std::vector<EndpointView> views(const std::vector<EndpointRoute> &routes) const;
    /// Counts an attempt in flight; noteEnded() must follow.
    void noteStarted(const EndpointId &id);
    void noteEnded(const EndpointId &id);
    /// Resets the failures of the endpoint.
    void noteSuccess(const EndpointId &id);
    /// Counts a failure caused by the endpoint, which may eject it.
    void noteFailure(const EndpointId &id, TimePoint now);
    /// Stores the load that the endpoint has reported.
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
