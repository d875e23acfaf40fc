/// Immutable snapshot of the control state for traffic threads, replaced as a whole on each change.
#pragma once

#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// An endpoint of this data centre.
struct EndpointRoute {
    EndpointId m_id;
    Address m_address;
    bool m_draining = false; ///< Gets no new requests.
    std::string m_shard; ///< Engines: key of the shard to which they belong.
};

struct ModelRoute {
    Model m_model;
    std::vector<EndpointRoute> m_endpoints; ///< Ordered by id.
};

struct ServiceRoute {
    Service m_service;
    std::vector<EndpointRoute> m_endpoints; ///< Ordered by id.
};

/// A live VM of this data centre.
struct PeerRoute {
    VmId m_id;
    Address m_peer; ///< Address for RPC between daemons.
};

struct RoutingView {
    uint64_t m_revision = 0;
    std::shared_ptr<const Intent> m_intent;
    DataCentreId m_dataCentre;
    std::vector<PeerRoute> m_peers; ///< Includes this VM.
    std::unordered_map<ModelId, ModelRoute> m_models;
    std::unordered_map<ServiceId, ServiceRoute> m_services;
    std::unordered_map<std::string, Customer> m_customersByKeyHash;

    // Each returns null if there is no match.
    const ModelRoute *findModel(const ModelId &id) const;
    const ServiceRoute *findService(const ServiceId &id) const;
    /// Finds the customer by its plain bearer key.
    const Customer *findCustomer(std::string_view key) const;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// Endpoints that drain according to any source other than the intent.
using DrainingEndpoints = std::vector<EndpointId>;

/// Builds the view of one data centre. Endpoints in @p leaving are marked as draining.
RoutingViewPtr buildRoutingView(std::shared_ptr<const Intent> intent, DataCentreId dataCentre,
                                std::vector<PeerRoute> peers, const DrainingEndpoints &leaving);

/// Hands the current view from the control thread to the traffic threads.
class RoutingViewHolder
{
public:
    void publish(RoutingViewPtr view) { m_view.store(std::move(view)); }
    /// The latest view; null before the first publish().
    RoutingViewPtr get() const { return m_view.load(); }

private:
    std::atomic<RoutingViewPtr> m_view;
};

} // namespace stackquay
