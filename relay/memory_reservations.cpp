#include "relay/memory_reservations.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Engines answer within a round trip; a request without an answer may still be carried out late.
constexpr Duration ReservationTimeout = Millis(400);
/// Reservations are idempotent by id, so a request may be sent again on a new connection.
constexpr Duration ReplaceConnectionAfter = ReservationTimeout / 2;
/// Hold time, as a share of the time within which unused memory must be free.
constexpr double HoldShare = 0.75;
/// One lost renewal does not end a reservation.
constexpr int RenewalsPerHold = 3;
constexpr unsigned StatusGranted = 200;

struct Reservation {
    EndpointRecord m_endpoint; ///< The process that holds the memory.
    Address m_address;
    EngineReservation m_request;
};

/// Sends nothing if another process runs under the endpoint's id now: it does not have the
/// reservation.
Result<HttpResponse> sendReservation(RelayNode &node, const Reservation &reservation,
                                     const HttpRequest &request)
{
    if (!node.isCurrentProcess(reservation.m_endpoint))
        return makeError(ErrorCode::Unavailable, "the endpoint's process is another one now");
    HttpCallOptions options;
    options.m_timeout = ReservationTimeout;
    options.m_replaceAfter = ReplaceConnectionAfter;
    return node.m_pool.call(reservation.m_address, request, options);
}

Millis holdDuration(const RelayBounds &bounds)
{
    const auto hold = std::chrono::duration_cast<Millis>(bounds.m_memoryReleaseTime * HoldShare);
    return std::min(hold, bounds.m_maxHold);
}

void release(RelayNode &node, const std::vector<Reservation> &reservations)
{
    for (const Reservation &reservation : reservations) {
        const auto answer = sendReservation(
            node, reservation, node.m_dialect.m_release(reservation.m_request.m_ticket));
        if (!answer) {
            // The reservation expires by itself.
            DecisionLine("relay", "release not answered")
                .text("endpoint", reservation.m_endpoint.m_id.str())
                .text("ticket", reservation.m_request.m_ticket)
                .text("error", answer.error().m_message)
                .write();
        }
    }
}

} // namespace

struct MemoryReservations::Shared {
    std::vector<Reservation> m_reservations;
    bool m_released = false;
};

MemoryReservations::MemoryReservations(RelayNode &node)
    : m_node(node)
    , m_shared(std::make_shared<Shared>())
{ }

MemoryReservations::~MemoryReservations()
{
    m_shared->m_released = true;
    if (m_shared->m_reservations.empty())
        return;
    spawnFiber([&node = m_node, shared = m_shared] { release(node, shared->m_reservations); });
}

void MemoryReservations::releaseAll()
{
    if (m_shared->m_reservations.empty())
        return;
    spawnFiber([&node = m_node, reservations = std::move(m_shared->m_reservations)] {
        release(node, reservations);
    });
    m_shared->m_reservations.clear();
}

Status MemoryReservations::reserve(const std::vector<GangMember> &members, const bool &abandoned)
{
    std::vector<GangMember> wanted;
    std::copy_if(members.begin(), members.end(), std::back_inserter(wanted),
                 [](const GangMember &member) { return member.m_reserve; });
    std::sort(wanted.begin(), wanted.end(), [](const auto &left, const auto &right) {
        return left.m_endpoint.m_id < right.m_endpoint.m_id;
    });
    const Millis hold = holdDuration(m_node.m_view.load()->m_bounds);
    for (const GangMember &member : wanted) {
        if (abandoned) {
            releaseAll();
            return makeError(ErrorCode::Cancelled, "the caller left");
        }
        const auto address = parseAddress(member.m_endpoint.m_address);
        if (!address)
            return tl::unexpected(address.error());
        const std::string ticket = fmt::format("{:x}-{}", m_node.m_origin, ++m_node.m_sequence);
        const Reservation reservation{ member.m_endpoint,
                                       *address,
                                       { ticket, member.m_tokens, hold } };
        const auto answer =
            sendReservation(m_node, reservation, m_node.m_dialect.m_reserve(reservation.m_request));
        // Without an answer it may have been granted, so it is released with the others.
        if (!answer || answer->m_status == StatusGranted)
            m_shared->m_reservations.push_back(reservation);
        if (answer && answer->m_status == StatusGranted) {
            m_node.m_metrics.m_reservations.add();
            continue;
        }
        m_node.m_metrics.m_reservationsRefused.add();
        m_refusingEndpoint = member.m_endpoint.m_id;
        releaseAll();
        return makeError(answer ? ErrorCode::ResourceExhausted : ErrorCode::OutcomeUnknown,
                         answer ? fmt::format("status {}", answer->m_status)
                                : answer.error().m_message);
    }
    if (m_shared->m_reservations.empty())
        return {};
    spawnFiber([&node = m_node, shared = m_shared, hold] {
        while (sleepFor(node.m_thread.context(), hold / RenewalsPerHold) && !shared->m_released) {
            for (const Reservation &reservation : shared->m_reservations) {
                if (shared->m_released)
                    return;
                const auto answer = sendReservation(
                    node, reservation, node.m_dialect.m_reserve(reservation.m_request));
                if (answer && answer->m_status == StatusGranted)
                    continue;
                DecisionLine("relay", "renewal not granted")
                    .text("endpoint", reservation.m_endpoint.m_id.str())
                    .text("ticket", reservation.m_request.m_ticket)
                    .number("status", answer ? answer->m_status : 0)
                    .write();
            }
        }
    });
    return {};
}

std::string MemoryReservations::ticketFor(const EndpointId &endpoint) const
{
    for (const Reservation &reservation : m_shared->m_reservations) {
        if (reservation.m_endpoint.m_id == endpoint)
            return reservation.m_request.m_ticket;
    }
    return {};
}

} // namespace stackquay
