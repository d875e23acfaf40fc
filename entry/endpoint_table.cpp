#include "entry/endpoint_table.h"

namespace stackquay {

std::vector<EndpointView> EndpointTable::views(const std::vector<EndpointRoute> &routes) const
{
    std::vector<EndpointView> views;
    views.reserve(routes.size());
    const std::lock_guard lock(m_mutex);
    for (const EndpointRoute &route : routes) {
        EndpointView view;
        view.m_id = route.m_id;
        view.m_draining = route.m_draining;
        const auto found = m_entries.find(route.m_id);
        if (found != m_entries.end()) {
            view.m_health = found->second.m_health;
            view.m_reported = found->second.m_reported;
            view.m_ownInFlight = found->second.m_ownInFlight;
        }
        views.push_back(std::move(view));
    }
    return views;
}

void EndpointTable::noteStarted(const EndpointId &id)
{
    const std::lock_guard lock(m_mutex);
    ++m_entries[id].m_ownInFlight;
}

void EndpointTable::noteEnded(const EndpointId &id)
{
    const std::lock_guard lock(m_mutex);
    --m_entries[id].m_ownInFlight;
}

void EndpointTable::noteSuccess(const EndpointId &id)
{
    const std::lock_guard lock(m_mutex);
    stackquay::noteSuccess(m_entries[id].m_health);
}

void EndpointTable::noteFailure(const EndpointId &id, TimePoint now)
{
    const std::lock_guard lock(m_mutex);
    const bool ejected = stackquay::noteFailure(m_entries[id].m_health, now);
    if (ejected)
        log(LogPart::Entry).warn("Endpoint ejected after repeated failures. endpoint={}", id.str());
}

void EndpointTable::setReported(const EndpointId &id, const ReportedLoad &load)
{
    const std::lock_guard lock(m_mutex);
    m_entries[id].m_reported = load;
}

} // namespace stackquay
