#include "relay/turn_monitor.h"

#include <algorithm>

#include "relay/relay_node.h"

namespace stackquay {

namespace {

/// The division of the pool is computed again if it is older. Small VMs cannot afford to walk the
/// whole ledger for each message.
constexpr Millis LoadMaxAge{ 250 };
/// Waits that are followed; more than wait in a cell. Those whose end was not heard of are dropped
/// with the others then.
constexpr size_t MaxWaits = 4'096;

} // namespace

Duration TurnMonitor::predictTurn(const LoadKey &key, const EngineCosts &costs,
                                  const ModelRequest &request, const SideLoad &side, TimePoint now)
{
    const bool strict = request.strict();
    Side &own = m_sides.at(strict);
    own.m_places.dropExpired(now);
    const DispatchQueue &queue = m_node.queueOf(request.m_gapLimitMs);
    const TurnLoad load =
        turnLoadOf(m_node.m_turns, costs, side, positionOf(queue, key, now).m_workAheadMs, strict);
    // One that came back goes before those that are told to come back.
    return request.m_returnOf ? stackquay::predictTurn(load, own.m_rate.share())
                              : forecastTurn(load, own.m_places, own.m_rate.share(), now);
}

bool TurnMonitor::refresh(TimePoint now)
{
    if (now < m_loadAt + LoadMaxAge)
        return m_costs.has_value();
    m_loadAt = now;
    m_costs.reset();
    dropExpiredWaits(now);
    const RelayViewPtr view = m_node.m_view.load();
    if (!view->m_routes)
        return false;
    for (const auto &[id, service] : view->m_routes->m_services) {
        const auto *pool = service.m_engine ? poolOf(*view, id) : nullptr;
        if (!pool || pool->empty())
            continue;
        const EndpointUses uses = m_node.m_ledger.uses(now);
        const auto strictSide = m_node.strictSide(id, *service.m_engine, *pool, uses);
        for (const bool strict : { false, true })
            m_sides.at(strict).m_load = m_node.sideLoad(service, *pool, strictSide, uses, strict);
        m_costs = service.m_engine;
        break;
    }
    return m_costs.has_value();
}

void TurnMonitor::recordLoad(bool strict, TimePoint now)
{
    Side &side = m_sides.at(strict);
    side.m_rate.recordLoad(turnLoadOf(m_node.m_turns, *m_costs, side.m_load, 0, strict).m_servers,
                           side.m_waiting > 0, now);
}

void TurnMonitor::dropExpiredWaits(TimePoint now)
{
    std::erase_if(m_waits, [&](const auto &entry) {
        const bool expired = entry.second.m_expiresAt <= now;
        if (expired)
            --m_sides.at(entry.second.m_strict).m_waiting;
        return expired;
    });
}

void TurnMonitor::noteWaiting(const LoadMessage &message, TimePoint now)
{
    if (!refresh(now))
        return;
    if (m_waits.size() >= MaxWaits) {
        m_waits.clear();
        for (Side &side : m_sides)
            side.m_waiting = 0;
    }
    const bool strict = isStrictGap(message.m_gapLimitMs);
    const Wait wait{ strict, now, now + Millis(message.m_expiresMs), Millis(message.m_turnMs),
                     static_cast<double>(message.m_workMs) };
    if (m_waits.try_emplace(message.m_key, wait).second)
        ++m_sides.at(strict).m_waiting;
    recordLoad(strict, now);
}

void TurnMonitor::notePlaced(const LoadKey &key, TimePoint now)
{
    if (!refresh(now))
        return;
    repeatPlaces(now);
    const auto wait = m_waits.find(key);
    if (wait == m_waits.end())
        return;
    m_sides.at(wait->second.m_strict).m_rate.recordStart(wait->second.m_workMs, now);
    noteEnded(key, now);
}

void TurnMonitor::noteEnded(const LoadKey &key, TimePoint now)
{
    if (!refresh(now))
        return;
    const auto found = m_waits.find(key);
    if (found == m_waits.end())
        return;
    const Wait wait = found->second;
    m_waits.erase(found);
    Side &side = m_sides.at(wait.m_strict);
    --side.m_waiting;
    side.m_error.record(wait.m_expected, now - wait.m_since);
    recordLoad(wait.m_strict, now);
}

bool TurnMonitor::isDue(const ReturnPlace &place, TimePoint now)
{
    return now + ReturnTolerance >= place.m_dueAt;
}

LoadMessage TurnMonitor::placeMessage(const AnnouncedPlace &announced, TimePoint now) const
{
    const ReturnPlace &place = announced.m_place;
    LoadMessage message{ LoadEvent::ReturnPlace, m_node.nextKey() };
    message.m_gapLimitMs = announced.m_strict ? StrictGapMs : 0;
    message.m_fingerprints = { place.m_request };
    message.m_dueMs = messageMillis(place.m_dueAt - now);
    message.m_expiresMs = messageMillis(place.m_expiresAt - now);
    message.m_ageMs = messageMillis(now - place.m_firstArrival);
    message.m_workMs = static_cast<uint32_t>(place.m_workMs);
    return message;
}

void TurnMonitor::takePlace(const Fingerprint &request, bool strict)
{
    m_sides.at(strict).m_places.release(request);
    LoadMessage message{ LoadEvent::ReturnPlace, m_node.nextKey() };
    message.m_gapLimitMs = strict ? StrictGapMs : 0;
    message.m_fingerprints = { request };
    m_node.m_loads.announce(message);
}

ReturnAdvice TurnMonitor::refuse(ReturnQuery query, ReturnPlace request, bool strict)
{
    query.m_turn = latestTurn(query.m_turn, strict);
    const ReturnAdvice advice = adviseReturn({}, query);
    if (!advice.m_keepsPlace)
        return advice;
    request.m_dueAt = query.m_now + *advice.m_delay;
    request.m_expiresAt = request.m_dueAt + ReturnGrace;
    m_sides.at(strict).m_places.keep(request);
    const AnnouncedPlace announced{ request, strict };
    m_node.m_loads.announce(placeMessage(announced, query.m_now));
    m_toRepeat.emplace(query.m_now + *advice.m_delay / 2, announced);
    return advice;
}

void TurnMonitor::repeatPlaces(TimePoint now)
{
    while (!m_toRepeat.empty() && m_toRepeat.begin()->first <= now) {
        const AnnouncedPlace announced = m_toRepeat.begin()->second;
        m_toRepeat.erase(m_toRepeat.begin());
        if (findPlace(announced.m_place.m_request, announced.m_strict, now))
            m_node.m_loads.announce(placeMessage(announced, now));
    }
}

void TurnMonitor::receivePlace(const LoadMessage &message, TimePoint now)
{
    if (message.m_fingerprints.empty())
        return;
    const Fingerprint &request = message.m_fingerprints.front();
    ReturnSchedule &places = m_sides.at(isStrictGap(message.m_gapLimitMs)).m_places;
    if (message.m_expiresMs == 0) {
        places.release(request);
        return;
    }
    ReturnPlace place;
    place.m_request = request;
    place.m_firstArrival = now - Millis(message.m_ageMs);
    place.m_dueAt = now + Millis(message.m_dueMs);
    place.m_expiresAt = now + Millis(message.m_expiresMs);
    place.m_workMs = message.m_workMs;
    places.keep(place);
}

std::vector<LoadMessage> TurnMonitor::placeMessages(TimePoint now)
{
    std::vector<LoadMessage> messages;
    for (const auto &[at, announced] : m_toRepeat) {
        if (findPlace(announced.m_place.m_request, announced.m_strict, now))
            messages.push_back(placeMessage(announced, now));
    }
    return messages;
}

} // namespace stackquay
