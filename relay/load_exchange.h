/// Exchanges with the other VMs, over UDP, which requests each VM has placed on which endpoints.
///
/// A placement, a first event and an end each take one datagram to each peer, or go out in batches
/// that some peers forward, see policy/announcement.h; a new peer receives several datagrams with
/// many messages each. Nothing is acknowledged: the shared ledger is a hint, and its entries
/// expire.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

enum class LoadEvent : uint8_t {
    Placed = 0,
    FirstEvent = 1,
    Ended = 2,
    Ejected = 4, ///< The endpoint cannot be reached from the sender's data centre.
    Waiting = 3, ///< A request is queued; ends with Placed or Ended for the same key.
    Suspected = 5, ///< Endpoint processes exited while they ran the requests.
    Cleared = 6, ///< A suspected request completed.
    BrokenOff = 7, ///< An endpoint broke off its response on a new connection.
    RetryDeposit = 8, ///< The sender deposits its part of the retry budget, see RetryPool.
    RetryRequest = 9, ///< The sender asks for one retry.
    RetryGrant = 10, ///< The retry asked for under this key is granted.
    RetryDenial = 11, ///< It is not.
    RetryPoolState = 12, ///< Reply to a deposit: what the holder can still grant.
    RequestLimit = 13, ///< An endpoint names a limit of its requests, or none any more.
    PartsSuspected = 14, ///< Endpoint processes exited under requests with parts of prompts.
    PartsCleared = 15, ///< An answer has begun on suspected parts.
    EndpointLeaving = 16, ///< The process of an endpoint has announced its end.
    ReturnPlace = 17, ///< A place is kept for a refused request, or taken; see ReturnSchedule.
    Batch = 18, ///< The first message of a datagram that is a batch; the others are its events.
};

struct LoadMessage {
    LoadEvent m_change = LoadEvent::Placed;
    LoadKey m_key;
    /// Placed: the load on each endpoint. Ejected, BrokenOff, RequestLimit and EndpointLeaving: the
    /// endpoint.
    std::vector<LoadPart> m_parts{};
    DataCentreId m_dataCentre{}; ///< Ejected: data centre of the sender.
    uint32_t m_gapLimitMs = 0; ///< Placed, Waiting and ReturnPlace.
    /// Placed, Waiting and ReturnPlace: time until expiry; Waiting: until the latest start.
    /// ReturnPlace: zero if the place is taken.
    uint32_t m_expiresMs = 0;
    /// Placed, if sent again later: time since the placement. ReturnPlace: since the first arrival.
    uint32_t m_ageMs = 0;
    bool m_writing = false; ///< Placed, if sent again later: the first event has arrived.
    uint32_t m_dueMs = 0; ///< ReturnPlace: time until it is due.
    /// Placed, if the request is a suspect, Cleared and ReturnPlace: fingerprint of the request.
    std::vector<Fingerprint> m_fingerprints{};
    /// Suspected: the reports. Cleared: the process exits that are cleared.
    std::vector<SuspectReport> m_suspects{};
    /// Suspected, Cleared, PartsSuspected and PartsCleared: cell of the sender.
    uint32_t m_cell = 0;
    int32_t m_orderMs = 0; ///< Waiting: time until QueuedRequest::m_order, may be negative.
    Address m_replyTo{}; ///< RetryRequest: load message address of the sender.
    /// RetryDeposit: requests by service. RetryRequest: the service. RetryPoolState: the retries
    /// that remain, for the services of the deposit.
    std::map<ServiceId, uint32_t> m_services{};
    /// In thousandths of a retry. RetryDeposit: RetryDeposit::m_slackPart. RetryPoolState: what
    /// remains for other services.
    uint32_t m_slackMillis = 0;
    /// RequestLimit and EndpointLeaving: start of the endpoint's process, Unix time.
    uint64_t m_processMs = 0;
    /// RequestLimit: thousandths of a request per second; zero: the endpoint names no limit.
    uint32_t m_limitMillis = 0;
    std::vector<PartReport> m_partReports{}; ///< PartsSuspected and PartsCleared.
    uint32_t m_workMs = 0; ///< Waiting and ReturnPlace: see QueuedRequest.
    uint32_t m_turnMs = 0; ///< Waiting: time after which the request is expected to start.
    /// Placed: see partCustomerHash(); zero: not counted, or sent again.
    uint64_t m_customer = 0;
    /// Batch: the receiver forwards it to these VMs, 6 bytes each, address and port. The key is the
    /// BatchNumber.
    std::string m_receivers{};
    uint32_t m_repeats = 0; ///< Batch: the first events that follow were in the batch before it.

    MSGPACK_DEFINE(m_change, m_key, m_parts, m_dataCentre, m_gapLimitMs, m_expiresMs, m_ageMs,
                   m_writing, m_dueMs, m_fingerprints, m_suspects, m_cell, m_orderMs, m_replyTo,
                   m_services, m_slackMillis, m_processMs, m_limitMillis, m_partReports, m_workMs,
                   m_turnMs, m_customer, m_receivers, m_repeats)
};

/// A duration as it is sent in messages; zero if it is negative.
uint32_t messageMillis(Duration duration);

/// Encodes @p messages as datagrams that fit into one packet each. Messages beyond the limit for
/// one peer are dropped.
std::vector<std::string> packLoads(const std::vector<LoadMessage> &messages);

/// Used on the traffic thread only.
class LoadExchange
{
public:
    using Receiver = std::function<void(const LoadMessage &)>;

    /// @p thread must be stopped before the exchange is destroyed. @p origin identifies this
    /// process. @p receiver is called for each message.
    LoadExchange(FiberThread &thread, uint64_t origin, Receiver receiver);
    ~LoadExchange();
    LoadExchange(const LoadExchange &) = delete;
    LoadExchange &operator=(const LoadExchange &) = delete;

    /// Binds the socket and starts to receive. Call it before the thread starts, or on the thread.
    /// Port 0 lets the kernel choose; the result is the bound address.
    Result<Address> listen(const Address &address);
    /// The address bound by listen().
    Address address() const;
    void setPeers(const std::vector<Address> &peers);
    /// Sets the VMs of other cells, which forward messages within their cells.
    void setContacts(const std::vector<Address> &contacts);
    /// Sends a message of which there are few, whatever the load, to all peers now.
    void send(const LoadMessage &message);
    /// Tells all peers of an event of a request, now or soon.
    void announce(const LoadMessage &event);
    /// Forgets what was received from a process that has ended.
    void forgetProcess(uint64_t origin);
    void sendToContacts(const LoadMessage &message);
    /// Sends one message to one peer.
    void sendTo(const Address &peer, const LoadMessage &message);
    /// Sends @p messages to one peer, with several messages in a datagram.
    void sendAll(const Address &peer, const std::vector<LoadMessage> &messages);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace stackquay

MSGPACK_ADD_ENUM(stackquay::LoadEvent)
