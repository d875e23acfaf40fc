#include "policy/endpoint_directory.h"

namespace stackquay {

namespace {

/// Removes unconfirmed endpoints of @p offered that have left, as @p known shows: it is confirmed,
/// lacks them, and is not older than the last position at which @p offered was confirmed.
void dropDeparted(EndpointDirectory &offered, const EndpointDirectory &known)
{
    if (!known.isConfirmed() || !known.m_position.known()
        || known.m_position < offered.m_confirmedPosition)
        return;
    std::erase_if(offered.m_unconfirmed, [&](const EndpointId &id) {
        return known.m_endpoints.count(id) == 0 && offered.m_endpoints.erase(id) > 0;
    });
}

/// Replaces @p own by a directory of a later position. Endpoints that @p offered may have missed
/// stay as unconfirmed.
void adoptLater(EndpointDirectory &own, const EndpointDirectory &offered)
{
    EndpointDirectory joined = offered;
    dropDeparted(joined, own);
    joined.m_confirmedPosition = own.m_confirmedPosition;
    // A delayed write of an earlier process may appear at a later revision.
    for (auto &[id, endpoint] : joined.m_endpoints) {
        if (isEarlierProcess(own, endpoint))
            endpoint = own.m_endpoints.at(id);
    }
    if (!offered.m_complete) {
        for (const auto &[id, endpoint] : own.m_endpoints) {
            if (offered.m_unreadable.count(id) == 0
                && joined.m_endpoints.emplace(id, endpoint).second)
                joined.m_unconfirmed.insert(id);
        }
        // The result is complete if the own snapshot was, since missing endpoints were kept.
        joined.m_complete = own.m_complete && own.m_position.known();
    }
    own = std::move(joined);
    updateConfirmedPosition(own);
}

/// Removes unconfirmed endpoints that a complete directory lacks. Returns whether there were any.
bool dropUnconfirmed(EndpointDirectory &own, const EndpointDirectory &offered)
{
    // An older snapshot may have been taken before the endpoint was registered.
    if (!offered.m_complete || offered.m_position < own.m_confirmedPosition)
        return false;
    const size_t dropped = std::erase_if(own.m_unconfirmed, [&](const EndpointId &id) {
        return offered.m_endpoints.count(id) == 0 && own.m_endpoints.erase(id) > 0;
    });
    updateConfirmedPosition(own);
    return dropped > 0;
}

} // namespace

bool isCold(const EndpointDirectory &directory, const EndpointId &endpoint, TimePoint now)
{
    const auto found = directory.m_coldUntil.find(endpoint);
    return found != directory.m_coldUntil.end() && now < found->second;
}

bool isEarlierProcess(const EndpointDirectory &directory, const EndpointRecord &record)
{
    const auto known = directory.m_endpoints.find(record.m_id);
    return known != directory.m_endpoints.end() && record.m_startedMs < known->second.m_startedMs;
}

std::vector<EndpointRecord> restartedSince(const EndpointDirectory &before,
                                           const EndpointDirectory &now)
{
    std::vector<EndpointRecord> restarted;
    for (const auto &[id, endpoint] : before.m_endpoints) {
        if (isEarlierProcess(now, endpoint))
            restarted.push_back(now.m_endpoints.at(id));
    }
    return restarted;
}

std::vector<EndpointRecord> departedSince(const EndpointDirectory &before,
                                          const EndpointDirectory &now)
{
    std::vector<EndpointRecord> departed;
    for (const auto &[id, endpoint] : before.m_endpoints) {
        const auto found = now.m_endpoints.find(id);
        const bool listed =
            found != now.m_endpoints.end() && found->second.m_startedMs <= endpoint.m_startedMs;
        const bool inDoubt = now.m_unconfirmed.count(id) > 0 && before.m_unconfirmed.count(id) == 0;
        if ((!listed || inDoubt) && now.m_unreadable.count(id) == 0)
            departed.push_back(endpoint);
    }
    return departed;
}

void updateConfirmedPosition(EndpointDirectory &directory)
{
    if (directory.isConfirmed())
        directory.m_confirmedPosition = directory.m_position;
}

bool mergeDirectory(EndpointDirectory &own, const EndpointDirectory &offered)
{
    const bool settles =
        offered.m_position == own.m_position && offered.isConfirmed() && !own.isConfirmed();
    if (offered.m_position <= own.m_position && !settles)
        return dropUnconfirmed(own, offered);
    adoptLater(own, offered);
    return true;
}

} // namespace stackquay
