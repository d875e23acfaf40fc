/// Request rates that endpoints name in their answers, as known to one VM.
///
/// An endpoint in need names how many requests per second it takes from all VMs together, for as
/// long as its answers say so. Each VM notes what its own answers say, and tells the others about
/// it, because most of them may not send to the endpoint (policy/send_share.h) and so receive no
/// answers of it. The rates belong to one process of the endpoint.
///
/// A VM that becomes a sender, because its peers changed, waits until what the former senders have
/// sent no longer counts.
#pragma once

#include <optional>
#include <unordered_map>

#include "policy/cells.h"
#include "policy/send_share.h"

namespace stackquay {

/// The VMs among which the rates are divided, from the view of @p m_self.
struct LimitGroup {
    VmId m_self;
    std::vector<VmId> m_peers; ///< Live VMs of the cell, without this one.
    size_t m_known = 1; ///< The highest number of VMs known in the cell.
    bool m_peersKnown = false; ///< The VM has had time to find its peers.
    CellView m_cell;
};

/// A rate as an answer names it; nothing: the answer names none.
using NamedRate = std::optional<double>;

/// The rate of one endpoint process.
struct EndpointLimit {
    EndpointRecord m_endpoint;
    /// Whether VMs of all cells use the endpoint; else only those of this VM's cell.
    bool m_sharedByCells = false;
    double m_requestsPerSecond = 0;
    TimePoint m_notedAt{}; ///< Last answer or message that named it.
    TimePoint m_toldAt{}; ///< Last message of this VM about it.
    bool m_ended = false; ///< Later answers name no rate. Kept for a while to repeat the message.
    SendShare m_share;
    bool m_sender = false;
    TimePoint m_sendsFrom{}; ///< If a sender: it does not send before.
    RecentSends m_sends;
};

class EndpointLimits
{
public:
    /// Sets the VMs among which the rates are divided.
    void setGroup(LimitGroup group, TimePoint now);
    /// Notes what this VM's own answer from @p endpoint names. Returns whether the other VMs have
    /// to be told.
    bool noteAnswer(const EndpointRecord &endpoint, bool sharedByCells, const NamedRate &rate,
                    TimePoint now);
    /// Notes what another VM told.
    void noteTold(const EndpointRecord &endpoint, bool sharedByCells, const NamedRate &rate,
                  TimePoint now);
    void forget(const EndpointId &endpoint) { m_limits.erase(endpoint); }
    /// Whether @p endpoint names a rate.
    bool isLimited(const EndpointId &endpoint, TimePoint now) const;
    /// Whether this VM may send a request to @p endpoint now.
    bool maySend(const EndpointId &endpoint, TimePoint now);
    /// How long until maySend() for @p endpoint; nothing if this VM is none of its senders.
    std::optional<Duration> timeToBudget(const EndpointId &endpoint, TimePoint now);
    void recordSend(const EndpointId &endpoint, TimePoint now);
    const std::unordered_map<EndpointId, EndpointLimit> &all() const { return m_limits; }

private:
    /// Returns whether the rate is new or another one.
    bool name(const EndpointRecord &endpoint, bool sharedByCells, double rate, TimePoint now);
    bool end(const EndpointId &endpoint, TimePoint now);
    void divide(EndpointLimit &limit, bool isNew, TimePoint now) const;

    LimitGroup m_group;
    std::unordered_map<EndpointId, EndpointLimit> m_limits;
};

} // namespace stackquay
