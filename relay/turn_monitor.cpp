#include "relay/turn_monitor.h"

#include <algorithm>

#include "relay/relay_node.h"

namespace stackquay {

namespace {

/// The division of the pool is computed again if it is older. Small VMs cannot afford to walk the
/// whole ledger for each message.
constexpr Millis SideMaxAge{ 250 };
/// Waits that are followed; more than wait in a cell. Those whose end was not heard of are dropped
/// with the others then.
constexpr size_t MaxWaits = 4'096;

} // namespace

TurnOutlook TurnMonitor::outlook(const LoadKey &key, const EngineCosts &costs,
                                 const ModelRequest &request, const SideLoad &side, TimePoint now)
{
    recordLoad(now);
    if (isCheapPrefill(m_node.m_turns, costs, side, request.m_promptTokens))
        return {};
    m_places.dropExpired(now);
    const TurnLoad load = turnLoadOf(m_node.m_turns, side, workAhead(m_node.m_longQueue, key, now));
    // One that came back goes before those that are told to come back.
    const Duration turn = request.m_returnOf ? predictTurn(load, m_rate.share())
                                             : forecastTurn(load, m_places, m_rate.share(), now);
    return { turn, m_error.margin() };
}

bool TurnMonitor::refreshSide(TimePoint now)
{
    if (now < m_sideAt + SideMaxAge)
        return m_active;
    m_sideAt = now;
    m_active = false;
    const RelayViewPtr view = m_node.m_view.load();
    if (!view->m_routes)
        return false;
    for (const auto &[id, service] : view->m_routes->m_services) {
        const auto *pool = service.m_admission.m_forecastsTurns ? poolOf(*view, id) : nullptr;
        if (!pool || pool->empty())
            continue;
        m_side = m_node.longSideLoad(service, *pool);
        m_active = true;
        break;
    }
    return m_active;
}

bool TurnMonitor::recordLoad(TimePoint now)
{
    if (!refreshSide(now))
        return false;
    // Only those that have been announced: others may start at once.
    double waitingMs = 0;
    for (const auto &[key, queued] : m_node.m_longQueue) {
        if (queued.m_expiresAt > now && m_waits.count(key) > 0)
            waitingMs += queued.m_workMs;
    }
    m_side.m_activePrefills = m_node.m_ledger.activeLongPrefills();
    m_rate.recordLoad(turnLoadOf(m_node.m_turns, m_side, waitingMs), now);
    return true;
}

void TurnMonitor::noteWaiting(const LoadMessage &message, TimePoint now)
{
    if (isStrictGap(message.m_gapLimitMs) || !refreshSide(now))
        return;
    if (m_waits.size() >= MaxWaits)
        m_waits.clear();
    m_waits.try_emplace(message.m_key, Wait{ now, Millis(message.m_turnMs), message.m_returned });
    recordLoad(now);
}

void TurnMonitor::notePlaced(const LoadKey &key, const AttemptLoad &load, TimePoint now)
{
    if (load.strict() || !recordLoad(now))
        return;
    repeatPlaces(now);
    const double prefillMs = load.prefillMs();
    // What bypasses the queue takes engine time from those that wait in it.
    if (FloatMillis(prefillMs) < cheapPrefillLimit(m_node.m_turns, m_side))
        m_rate.recordCompleted(-prefillMs, now);
    noteEnded(key, now);
}

void TurnMonitor::noteFirstEvent(const LoadKey &key, TimePoint now)
{
    const auto load = m_node.m_ledger.loads().find(key);
    if (load == m_node.m_ledger.loads().end() || load->second.strict() || load->second.m_decoding)
        return;
    if (recordLoad(now))
        m_rate.recordCompleted(load->second.prefillMs(), now);
}

void TurnMonitor::noteEnded(const LoadKey &key, TimePoint now)
{
    const auto wait = m_waits.find(key);
    if (wait == m_waits.end())
        return;
    TurnError &error = wait->second.m_returned ? m_returnError : m_error;
    error.record(wait->second.m_expected, now - wait->second.m_since);
    m_waits.erase(wait);
}

bool TurnMonitor::isDue(const ReturnPlace &place, TimePoint now)
{
    return now + ReturnTolerance >= place.m_dueAt;
}

LoadMessage TurnMonitor::placeMessage(const ReturnPlace &place, TimePoint now) const
{
    LoadMessage message{ LoadEvent::ReturnPlace, m_node.nextKey() };
    message.m_fingerprints = { place.m_request };
    message.m_aimMs = messageMillis(place.m_dueAt - now);
    message.m_expiresMs = messageMillis(place.m_expiresAt - now);
    message.m_ageMs = messageMillis(now - place.m_firstArrival);
    message.m_workMs = static_cast<uint32_t>(place.m_workMs);
    return message;
}

void TurnMonitor::takePlace(const Fingerprint &request)
{
    m_places.release(request);
    LoadMessage message{ LoadEvent::ReturnPlace, m_node.nextKey() };
    message.m_fingerprints = { request };
    m_node.m_loads.announce(message);
}

ReturnAdvice TurnMonitor::refuse(ReturnQuery query, ReturnPlace request)
{
    query.m_turn += std::max(m_returnError.margin(), Duration::zero());
    const ReturnAdvice advice = adviseReturn({}, query);
    if (!advice.m_keepsPlace)
        return advice;
    request.m_dueAt = query.m_now + *advice.m_delay;
    request.m_expiresAt = request.m_dueAt + ReturnGrace;
    m_places.keep(request);
    m_node.m_loads.announce(placeMessage(request, query.m_now));
    m_toRepeat.emplace(query.m_now + *advice.m_delay / 2, request);
    return advice;
}

void TurnMonitor::repeatPlaces(TimePoint now)
{
    while (!m_toRepeat.empty() && m_toRepeat.begin()->first <= now) {
        const ReturnPlace place = m_toRepeat.begin()->second;
        m_toRepeat.erase(m_toRepeat.begin());
        if (m_places.find(place.m_request, now))
            m_node.m_loads.announce(placeMessage(place, now));
    }
}

void TurnMonitor::receivePlace(const LoadMessage &message, TimePoint now)
{
    if (message.m_fingerprints.empty())
        return;
    const Fingerprint &request = message.m_fingerprints.front();
    if (message.m_expiresMs == 0) {
        m_places.release(request);
        return;
    }
    ReturnPlace place;
    place.m_request = request;
    place.m_firstArrival = now - Millis(message.m_ageMs);
    place.m_dueAt = now + Millis(message.m_aimMs);
    place.m_expiresAt = now + Millis(message.m_expiresMs);
    place.m_workMs = message.m_workMs;
    m_places.keep(place);
}

std::vector<LoadMessage> TurnMonitor::placeMessages(TimePoint now)
{
    std::vector<LoadMessage> messages;
    for (const auto &[at, place] : m_toRepeat) {
        if (m_places.find(place.m_request, now))
            messages.push_back(placeMessage(place, now));
    }
    return messages;
}

} // namespace stackquay
