/// Keeps this VM's requests to each endpoint within the limits of cold endpoints and of those that
/// name a rate in their answers.
///
/// Rates that answers name are told to the VMs of the cell: at a change, and each second while
/// answers repeat them.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "relay/load_exchange.h"
#include "relay/relay_view.h"

namespace stackquay {

/// Used on the traffic thread only.
class EndpointLimiter
{
public:
    /// @p tell sends a message to the VMs of the cell; @p nextKey returns a key for it.
    EndpointLimiter(std::function<void(const LoadMessage &)> tell,
                    std::function<LoadKey()> nextKey);

    /// Sets the VMs among which the limits are divided.
    void setGroup(LimitGroup group);
    /// Whether this VM may send a request to @p endpoint now.
    bool maySend(const RelayView &view, const EndpointId &endpoint);
    /// Counts a request to @p endpoint.
    void recordSend(const RelayView &view, const EndpointId &endpoint);
    /// Counts the part of another endpoint's prompt that @p endpoint prefills.
    void recordPart(const EndpointId &endpoint);
    /// Notes the rate that an answer of @p endpoint names.
    void noteAnswer(const RelayView &view, const EndpointRecord &endpoint, const NamedRate &rate);
    void receive(const RelayView &view, const LoadMessage &message);
    /// Forgets what is known about the former process of @p endpoint.
    void forget(const EndpointId &endpoint);
    /// Whether any endpoint may name a rate.
    bool knowsRates() const { return !m_limits.all().empty(); }
    /// Whether @p endpoint names a rate.
    bool namesRate(const EndpointId &endpoint) const;
    /// If the limits are what keeps this VM from sending to each endpoint of @p pool: the time
    /// until it may send to one of them, or nothing if that is not known.
    std::optional<Duration> timeToBudget(const std::vector<EndpointRecord> &pool);
    /// All rates, for a VM that starts.
    std::vector<LoadMessage> messages() const;

private:
    LoadMessage messageOf(const EndpointLimit &limit) const;

    std::function<void(const LoadMessage &)> m_tell;
    std::function<LoadKey()> m_nextKey;
    EndpointLimits m_limits;
    std::unordered_map<EndpointId, RecentSends> m_coldSends;
};

} // namespace stackquay
