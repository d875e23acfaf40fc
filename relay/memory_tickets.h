/// Memory of engines reserved for one attempt: all or nothing, renewed while it is used, released
/// on every path.
///
/// A reservation's hold is shorter than the time within which unused memory must be free. So when a
/// VM dies, or an order is carried out late, nothing stays reserved for long.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "relay/relay_node.h"

namespace stackquay {

class MemoryTickets
{
public:
    explicit MemoryTickets(RelayNode &node);
    /// Releases what is held, in the background.
    ~MemoryTickets();
    MemoryTickets(const MemoryTickets &) = delete;
    MemoryTickets &operator=(const MemoryTickets &) = delete;

    /// Reserves what @p members ask for, in the order of the endpoints' ids, so that two requests
    /// cannot each hold what the other lacks. On an error nothing is held.
    /// Gives up, and what it has back, once @p abandoned.
    Status reserve(const std::vector<GangMember> &members, const bool &abandoned);
    /// The ticket at @p endpoint, or an empty text.
    std::string ticketAt(const EndpointId &endpoint) const;
    /// The endpoint that did not grant the last reserve().
    const EndpointId &refusedBy() const { return m_refusedBy; }

private:
    void giveBack();

    struct Held;

    RelayNode &m_node;
    std::shared_ptr<Held> m_held;
    EndpointId m_refusedBy;
};

} // namespace stackquay
