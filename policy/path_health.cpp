#include "policy/path_health.h"

#include <algorithm>
#include <set>

namespace stackquay {

namespace {

std::set<DataCentreId> dataCentresOf(const std::vector<EndpointRecord> &endpoints)
{
    std::set<DataCentreId> dataCentres;
    for (const EndpointRecord &endpoint : endpoints)
        dataCentres.insert(endpoint.m_dataCentre);
    return dataCentres;
}

/// The way to a VM of the same data centre does not use the links between data centres, which are
/// slower and may be cut.
constexpr double LocalPreference = 2;

double weightOf(const ForwardPeer &peer, const DataCentreId &dataCentre)
{
    return std::max(peer.m_millicores, 1u)
           * (peer.m_dataCentre == dataCentre ? LocalPreference : 1.0);
}

} // namespace

void PathHealth::record(const EndpointRecord &endpoint, bool reached, TimePoint now)
{
    std::erase_if(m_results,
                  [&](const auto &entry) { return now - entry.second.m_at > m_settings.m_window; });
    m_results[endpoint.m_id] = { reached, endpoint.m_dataCentre, now };
    m_doubtful = !reached;
}

size_t PathHealth::count(bool reached) const
{
    return static_cast<size_t>(
        std::count_if(m_results.begin(), m_results.end(),
                      [reached](const auto &entry) { return entry.second.m_reached == reached; }));
}

size_t PathHealth::unreachedDataCentres() const
{
    std::set<DataCentreId> dataCentres;
    for (const auto &[id, result] : m_results) {
        if (!result.m_reached)
            dataCentres.insert(result.m_dataCentre);
    }
    return dataCentres.size();
}

bool PathHealth::isUnreached(const EndpointId &endpoint) const
{
    const auto found = m_results.find(endpoint);
    return found != m_results.end() && !found->second.m_reached;
}

void PathHealth::recordReached(const EndpointRecord &endpoint, TimePoint now)
{
    record(endpoint, true, now);
    m_isolated = m_isolated && count(true) <= count(false);
}

void PathHealth::recordUnreached(const EndpointRecord &endpoint,
                                 const std::vector<EndpointRecord> &endpoints, TimePoint now)
{
    record(endpoint, false, now);
    const size_t unreached = count(false);
    const size_t needed = std::clamp<size_t>(endpoints.size(), 2, m_settings.m_minUnreached);
    // A data centre that is cut off takes all of its endpoints with it.
    const size_t dataCentres = std::min<size_t>(2, dataCentresOf(endpoints).size());
    const bool cutOff = unreached >= needed && unreachedDataCentres() >= dataCentres
                        && unreached >= count(true) * m_settings.m_unreachedPerReached;
    m_isolated = m_isolated || cutOff;
}

const ForwardPeer *chooseForwardPeer(const std::vector<ForwardPeer> &peers,
                                     const DataCentreId &dataCentre, const std::vector<VmId> &tried,
                                     double draw)
{
    const auto isTried = [&tried](const ForwardPeer &peer) {
        return std::find(tried.begin(), tried.end(), peer.m_vm) != tried.end();
    };
    double left = 0;
    for (const ForwardPeer &peer : peers)
        left += isTried(peer) ? 0 : weightOf(peer, dataCentre) * draw;
    const ForwardPeer *last = nullptr;
    for (const ForwardPeer &peer : peers) {
        if (isTried(peer))
            continue;
        last = &peer;
        left -= weightOf(peer, dataCentre);
        if (left < 0)
            break;
    }
    return last;
}

} // namespace stackquay
