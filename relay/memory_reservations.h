/// Engine memory reserved for one attempt: all or nothing, renewed while it is in use, and released
/// on every path.
///
/// The hold time of a reservation is shorter than the time within which unused memory must be free.
/// So nothing stays reserved for long if a VM crashes or an engine handles a request late.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "relay/relay_node.h"

namespace stackquay {

class MemoryReservations
{
public:
    explicit MemoryReservations(RelayNode &node);
    /// Releases all reservations in the background.
    ~MemoryReservations();
    MemoryReservations(const MemoryReservations &) = delete;
    MemoryReservations &operator=(const MemoryReservations &) = delete;

    /// Reserves the memory that @p members request, in the order of the endpoint ids, so that two
    /// requests cannot deadlock. After an error nothing stays reserved; see refusingEndpoint().
    /// Stops and releases what it has once @p abandoned is true. Blocks the fiber.
    Status reserve(const std::vector<GangMember> &members, const bool &abandoned);
    /// Releases all reservations in the background.
    void releaseAll();
    /// The reservation id on @p endpoint; empty if there is none.
    std::string ticketFor(const EndpointId &endpoint) const;
    /// The endpoint that did not grant the last reserve().
    const EndpointId &refusingEndpoint() const { return m_refusingEndpoint; }

    /// Whether memory is reserved.
    bool empty() const { return m_reservations.empty(); }

    struct Reservation;

private:
    RelayNode &m_node;
    std::vector<std::shared_ptr<Reservation>> m_reservations;
    EndpointId m_refusingEndpoint;
};

} // namespace stackquay
