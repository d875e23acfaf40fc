/// Keeps this VM's requests to each endpoint within the limits of cold endpoints and of those that
/// name a rate in their answers, and from endpoints that want none of its requests.
///
/// Rates that answers name are told to the VMs of the cell: at a change, and each second while
/// answers repeat them. So is, once, that the process of an endpoint is leaving. That it wants no
/// requests for a while concerns this VM alone.
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
    bool maySend(const RelayView &view, const EndpointRecord &endpoint);
    /// Counts a request to @p endpoint.
    void recordSend(const RelayView &view, const EndpointId &endpoint);
    /// Counts the part of another endpoint's prompt that @p endpoint prefills.
    void recordPart(const EndpointId &endpoint);
    /// Notes the rate that an answer of @p endpoint names.
    void noteAnswer(const RelayView &view, const EndpointRecord &endpoint, const NamedRate &rate);
    /// Notes that an answer of @p endpoint asks for no requests, or that its process is leaving.
    void noteBackoff(const EndpointRecord &endpoint, std::optional<Millis> retryAfter, bool leaving,
                     const RelayView &view);
    void receive(const RelayView &view, const LoadMessage &message);
    /// Forgets what is known about the former process of @p endpoint.
    void forget(const EndpointId &endpoint);
    /// Whether any endpoint may be restricted now.
    bool restrictsAny() const
    {
        return !m_limits.all().empty() || m_backoff.blocksAny(Clock::now());
    }
    /// Whether @p endpoint names a rate or wants no requests.
    bool isRestricted(const EndpointRecord &endpoint) const;
    /// Whether @p endpoint wants no requests of this VM now.
    bool isBlocked(const EndpointRecord &endpoint) const;
    bool blocksAll(const std::vector<EndpointRecord> &pool) const;
    /// Whether @p endpoint names a rate.
    bool namesRate(const EndpointId &endpoint) const;
    /// If this is what keeps this VM from sending to each endpoint of @p pool: the time until it
    /// may send to one of them, or nothing if that is not known.
    std::optional<Duration> timeToBudget(const std::vector<EndpointRecord> &pool);
    /// All rates and leaving processes, for a VM that starts.
    std::vector<LoadMessage> messages() const;

private:
    LoadMessage messageOf(const EndpointLimit &limit) const;
    LoadMessage leavingMessage(const EndpointRecord &endpoint) const;
    void receiveLimit(const RelayView &view, const EndpointRecord &endpoint,
                      const LoadMessage &message);

    std::function<void(const LoadMessage &)> m_tell;
    std::function<LoadKey()> m_nextKey;
    EndpointLimits m_limits;
    EndpointBackoff m_backoff;
    std::unordered_map<EndpointId, RecentSends> m_coldSends;
};

} // namespace stackquay
