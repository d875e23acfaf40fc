/// Tells the other VMs what this one places at endpoints, and hears the same from them, over UDP.
///
/// One datagram to each peer for a placement, a first event and an end; some with many messages to
/// a peer that is new. Nothing is acknowledged: the ledger is a hint, and its entries expire.
#pragma once

#include <memory>
#include <vector>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

enum class LoadChange : uint8_t {
    Placed = 0,
    FirstEvent = 1,
    Ended = 2,
    Ejected = 4, ///< An endpoint cannot be reached from the sender's data centre.
    Waiting = 3, ///< A request waits for its turn; ends with Placed or Ended of the same key.
    Suspected = 5, ///< Processes of endpoints ended under requests.
    Cleared = 6, ///< A suspect completed.
    BrokenOff = 7, ///< An endpoint broke off the answer to an attempt on a new connection.
};

struct LoadMessage {
    LoadChange m_change = LoadChange::Placed;
    LoadKey m_key;
    std::vector<LoadPart> m_parts{}; ///< Placed; ejected and broken off: the endpoint.
    DataCentreId m_dataCentre{}; ///< Ejected only: of the sender.
    uint32_t m_gapLimitMs = 0; ///< Placed and waiting.
    uint32_t m_expiresMs = 0; ///< Placed and waiting: from now.
    uint32_t m_ageMs = 0; ///< Placed, if told later: how long ago.
    bool m_writing = false; ///< Placed, if told later: the first event came.
    uint32_t m_aimMs = 0; ///< Waiting only: when the first event is wanted, from now.
    uint32_t m_neededMs = 0; ///< Waiting only: as WaitingTurn.
    std::vector<Fingerprint> m_prints{}; ///< Placed, if it is a suspect, and cleared: its name.
    std::vector<SuspectNews> m_suspects{}; ///< Suspected; cleared: with the ends that are cleared.
    uint32_t m_cell = 0; ///< Suspected and cleared: of the sender.
    uint32_t m_leadMs = 0; ///< Waiting only: as WaitingTurn.

    MSGPACK_DEFINE(m_change, m_key, m_parts, m_dataCentre, m_gapLimitMs, m_expiresMs, m_ageMs,
                   m_writing, m_aimMs, m_neededMs, m_prints, m_suspects, m_cell, m_leadMs)
};

/// The messages of @p messages as datagrams that no network splits; those after the bound of what
/// one peer is told are left out.
std::vector<std::string> packLoads(const std::vector<LoadMessage> &messages);

/// Used on the traffic thread only.
class LoadExchange
{
public:
    using Receiver = std::function<void(const LoadMessage &)>;

    /// @p thread must be stopped before the exchange is destroyed.
    LoadExchange(FiberThread &thread, Receiver receiver);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    LoadExchange &operator=(const LoadExchange &) = delete;

    /// Binds, and starts to receive. Before the thread starts or on it. Port 0 takes one from the
    /// kernel.
    Result<Address> listen(const Address &address);
    void setPeers(const std::vector<Address> &peers);
    /// VMs of other cells, which tell theirs.
    void setContacts(const std::vector<Address> &contacts);
    void send(const LoadMessage &message);
    void sendToContacts(const LoadMessage &message);
    /// Sends @p messages to one peer, packed.
    void tell(const Address &peer, const std::vector<LoadMessage> &messages);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::LoadChange)
