#include "policy/directory_history.h"

#include <fmt/format.h>

#include "core/hash.h"

namespace stackquay {

namespace {

uint64_t digestOf(const EndpointRecord &endpoint)
{
    return stableHash(fmt::format(
        "{} {} {} {} {} {}", endpoint.m_id.str(), endpoint.m_service.str(), endpoint.m_address,
        endpoint.m_dataCentre.str(), endpoint.m_draining, endpoint.m_startedMs));
}

/// Digest of the record under @p id; zero if there is none.
uint64_t digestOf(const EndpointMap &endpoints, const EndpointId &id)
{
    const auto found = endpoints.find(id);
    return found == endpoints.end() ? 0 : digestOf(found->second);
}

std::vector<EndpointId> differences(const EndpointMap &before, const EndpointMap &now)
{
    std::vector<EndpointId> endpoints;
    for (const auto &[id, endpoint] : now) {
        const auto known = before.find(id);
        if (known == before.end() || known->second != endpoint)
            endpoints.push_back(id);
    }
    for (const auto &[id, endpoint] : before) {
        if (now.count(id) == 0)
            endpoints.push_back(id);
    }
    return endpoints;
}

} // namespace

void recordChanges(DirectoryHistory &history, const EndpointDirectory &before,
                   const EndpointDirectory &now)
{
    const bool continues = history.m_from.known() && before.m_position.known()
                           && before.m_position.m_era == now.m_position.m_era;
    if (!continues) {
        history.m_entries.clear();
        history.m_endpoints = 0;
        history.m_from = now.m_position;
        history.m_digest = digestOf(now.m_endpoints);
        return;
    }
    auto endpoints = differences(before.m_endpoints, now.m_endpoints);
    if (endpoints.empty())
        return;
    for (const EndpointId &id : endpoints)
        history.m_digest ^= digestOf(before.m_endpoints, id) ^ digestOf(now.m_endpoints, id);
    history.m_endpoints += endpoints.size();
    history.m_entries.push_back({ now.m_position, std::move(endpoints) });
    while (history.m_endpoints > history.m_maxEndpoints) {
        history.m_from = history.m_entries.front().m_position;
        history.m_endpoints -= history.m_entries.front().m_endpoints.size();
        history.m_entries.pop_front();
    }
}

std::optional<DirectoryChanges> changesSince(const DirectoryHistory &history,
                                             const EndpointDirectory &directory,
                                             const StorePosition &from)
{
    if (!history.m_from.known() || from.m_era != history.m_from.m_era || from < history.m_from)
        return std::nullopt;
    std::unordered_set<EndpointId> changed;
    for (const DirectoryHistory::Entry &entry : history.m_entries) {
        if (entry.m_position > from)
            changed.insert(entry.m_endpoints.begin(), entry.m_endpoints.end());
    }
    DirectoryChanges changes;
    changes.m_from = from;
    for (const EndpointId &id : changed) {
        const auto found = directory.m_endpoints.find(id);
        if (found == directory.m_endpoints.end())
            changes.m_removed.push_back(id);
        else
            changes.m_changed.push_back(found->second);
    }
    return changes;
}

uint64_t digestOf(const EndpointMap &endpoints)
{
    uint64_t digest = 0;
    for (const auto &[id, endpoint] : endpoints)
        digest ^= digestOf(endpoint);
    return digest;
}

std::optional<EndpointMap> applyChanges(const EndpointDirectory &own,
                                        const DirectoryChanges &changes)
{
    if (own.m_position != changes.m_from)
        return std::nullopt;
    EndpointMap endpoints = own.m_endpoints;
    for (const EndpointId &id : changes.m_removed)
        endpoints.erase(id);
    for (const EndpointRecord &endpoint : changes.m_changed)
        endpoints[endpoint.m_id] = endpoint;
    return endpoints;
}

} // namespace stackquay
