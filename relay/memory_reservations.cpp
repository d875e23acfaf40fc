#include "relay/memory_reservations.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// Of an endpoint's answer to a reservation, a renewal or a release.
constexpr size_t MaxOrderResponseBytes = 64 * 1024;

/// Engines answer within a round trip; a request without an answer may still be carried out late.
constexpr Duration ReservationTimeout = Millis(400);
/// Reservations are idempotent by id, so a request may be sent again on a new connection.
constexpr Duration ReplaceConnectionAfter = ReservationTimeout / 2;
/// Hold time, as a share of the time within which unused memory must be free.
constexpr double HoldShare = 0.75;
/// One lost renewal does not end a reservation.
constexpr int RenewalsPerHold = 3;
constexpr unsigned StatusGranted = 200;

} // namespace

/// One reservation; shared with the fibers that renew and release it.
struct MemoryReservations::Reservation {
    EndpointRecord m_endpoint; ///< The process that holds the memory.
    Address m_address;
    EngineReservation m_request;
    bool m_renewing = false; ///< A renewal is in progress.
    bool m_released = false; ///< Not needed any more: it is not renewed again.
};

namespace {

using Reservation = MemoryReservations::Reservation;

/// Sends nothing if another process runs under the endpoint's id now: it does not have the
/// reservation.
Result<HttpResponse> sendReservation(RelayNode &node, const Reservation &reservation,
                                     const HttpRequest &request)
{
    if (!node.isCurrentProcess(reservation.m_endpoint))
        return makeError(ErrorCode::Unavailable, "the endpoint's process is another one now");
    HttpCallOptions options;
    options.m_timeout = ReservationTimeout;
    options.m_bodyLimit = MaxOrderResponseBytes;
    options.m_replaceAfter = ReplaceConnectionAfter;
    auto answer = node.m_pool.call(reservation.m_address, request, options);
    if (answer)
        node.noteAnswer(reservation.m_endpoint, node.m_dialect.m_readResponseHead(*answer));
    return answer;
}

Millis holdDuration(const RelayBounds &bounds)
{
    const auto hold = std::chrono::duration_cast<Millis>(bounds.m_memoryReleaseTime * HoldShare);
    return std::min(hold, bounds.m_maxHold);
}

void sendRelease(RelayNode &node, const Reservation &reservation)
{
    const auto answer = sendReservation(node, reservation,
                                        node.m_dialect.m_release(reservation.m_request.m_ticket));
    if (answer)
        return;
    // The reservation expires by itself.
    DecisionLine("relay", "release not answered")
        .text("endpoint", reservation.m_endpoint.m_id.str())
        .text("ticket", reservation.m_request.m_ticket)
        .text("error", answer.error().m_message)
        .write();
}

/// Releases the reservation, after the end of a renewal in progress: one that overtakes the release
/// would reserve the memory again. An endpoint that does not answer delays no other release.
void release(RelayNode &node, const std::shared_ptr<Reservation> &reservation)
{
    reservation->m_released = true;
    if (!reservation->m_renewing)
        spawnFiber([&node, reservation] { sendRelease(node, *reservation); });
}

void renew(RelayNode &node, Reservation &reservation)
{
    reservation.m_renewing = true;
    const auto answer =
        sendReservation(node, reservation, node.m_dialect.m_reserve(reservation.m_request));
    reservation.m_renewing = false;
    if (reservation.m_released) {
        sendRelease(node, reservation);
        return;
    }
    if (answer && answer->m_status == StatusGranted)
        return;
    DecisionLine("relay", "renewal not granted")
        .text("endpoint", reservation.m_endpoint.m_id.str())
        .text("ticket", reservation.m_request.m_ticket)
        .number("status", answer ? answer->m_status : 0)
        .write();
}

/// Renews until the release. Each reservation has a fiber of its own, because an endpoint that does
/// not answer would delay the renewals of the others beyond their hold time.
void keepRenewing(RelayNode &node, const std::shared_ptr<Reservation> &reservation)
{
    spawnFiber([&node, reservation] {
        const Millis period = reservation->m_request.m_hold / RenewalsPerHold;
        while (sleepFor(node.m_thread.context(), period) && !reservation->m_released)
            renew(node, *reservation);
    });
}

} // namespace

MemoryReservations::MemoryReservations(RelayNode &node)
    : m_node(node)
{ }

MemoryReservations::~MemoryReservations()
{
    releaseAll();
}

void MemoryReservations::releaseAll()
{
    for (const auto &reservation : m_reservations)
        release(m_node, reservation);
    m_reservations.clear();
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
        // What is running there is renewed and released all the same.
        if (m_node.m_limiter.isBlocked(member.m_endpoint)) {
            releaseAll();
            return makeError(ErrorCode::ResourceExhausted, "the endpoint takes no requests now");
        }
        const auto address = parseAddress(member.m_endpoint.m_address);
        if (!address)
            return tl::unexpected(address.error());
        const std::string ticket = fmt::format("{:x}-{}", m_node.m_origin, ++m_node.m_sequence);
        const auto reservation = std::make_shared<Reservation>(
            Reservation{ member.m_endpoint, *address, { ticket, member.m_tokens, hold } });
        const auto answer = sendReservation(m_node, *reservation,
                                            m_node.m_dialect.m_reserve(reservation->m_request));
        // Without an answer it may have been granted, so it is released with the others.
        if (!answer || answer->m_status == StatusGranted)
            m_reservations.push_back(reservation);
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
    for (const auto &reservation : m_reservations)
        keepRenewing(m_node, reservation);
    return {};
}

std::string MemoryReservations::ticketFor(const EndpointId &endpoint) const
{
    for (const auto &reservation : m_reservations) {
        if (reservation->m_endpoint.m_id == endpoint)
            return reservation->m_request.m_ticket;
    }
    return {};
}

} // namespace stackquay
