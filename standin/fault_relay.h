/// A relay of TCP connections and datagrams that injects faults between two processes.
#pragma once

#include <functional>
#include <future>
#include <list>
#include <map>

#include "standin/json_http.h"
#include "standin/relay_connection.h"
#include "standin/udp_relay.h"

namespace stackquay::standin {

/// What one target's relay has seen.
struct RelayStats {
    Address m_listen;
    Address m_target;
    RelayMode m_mode = RelayMode::Pass;
    uint64_t m_accepted = 0;
    uint64_t m_struck = 0; ///< Connections that a fault has cut.
    size_t m_open = 0;
    uint64_t m_bytesToTarget = 0;
    uint64_t m_bytesFromTarget = 0;
};

/// Relays any number of targets on a FiberThread, which must be stopped before this is destroyed.
/// setFault() and stats() are for other threads, while its thread runs.
///
/// Admin calls: `POST /mode` {"mode","delay_ms","count","target"} for the target with that index,
/// or for all without it; `GET /admin/stats`.
class FaultRelay
{
public:
    explicit FaultRelay(FiberThread &thread);
    ~FaultRelay();

    /// Opens a relay to @p target; the address to use in the target's place. Call before the
    /// thread starts or on it.
    Result<Address> addTarget(const Address &target, const Address &listen = {});
    /// The same for datagrams.
    Result<Address> addUdpTarget(const Address &target, const Address &listen = {});
    /// Opens the admin port.
    Result<Address> listen(const Address &address);

    /// Tells the sources of connections apart: @p sourceOf names the one that connected from a
    /// port to the relay's port @p listen; nothing: unknown. Call before the thread starts.
    using SourceOf = std::function<std::optional<size_t>(uint16_t from, uint16_t listen)>;
    void identifySources(SourceOf sourceOf) { m_sourceOf = std::move(sourceOf); }

    /// Sets the fault of all targets, or of the one with an index in the order of adding.
    void setFault(RelayFault fault, std::optional<size_t> target = std::nullopt);
    /// Sets the fault between a source and a target, until the target's is set. Connections of a
    /// source are accepted in any mode.
    void setSourceFault(RelayFault fault, size_t target, size_t source);
    std::vector<RelayStats> stats();

private:
    struct Target;

    void handle(HttpExchange &exchange);
    bool applyFault(const RelayFault &fault, std::optional<size_t> target);
    std::vector<RelayStats> collectStats() const;

    FiberThread &m_thread;
    HttpServer m_server;
    SourceOf m_sourceOf;
    std::vector<std::shared_ptr<Target>> m_targets;
};

} // namespace stackquay::standin
