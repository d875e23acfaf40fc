/// What traffic threads see of the control state: one immutable snapshot, replaced as a whole.
#pragma once

#include <atomic>
#include <memory>
#include <unordered_map>
#include <vector>

#include "net/net.h"
#include "policy/policy.h"

namespace stackquay {

/// An endpoint of the own data centre.
struct EndpointRoute {
    EndpointId m_id;
    Address m_address;
    bool m_draining = false; ///< Gets no new work.
    std::string m_shard; ///< Engines: the key of the shard that they belong to.
};

struct ModelRoute {
    Model m_model;
    std::vector<EndpointRoute> m_endpoints; ///< Ordered by id.
};

struct ServiceRoute {
    Service m_service;
    std::vector<EndpointRoute> m_endpoints; ///< Ordered by id.
};

/// A live VM of the own data centre.
struct PeerRoute {
    VmId m_id;
    Address m_peer; ///< For calls between daemons.
};

struct RoutingView {
    uint64_t m_revision = 0;
    std::shared_ptr<const Intent> m_intent;
    DataCentreId m_dataCentre;
    std::vector<PeerRoute> m_peers; ///< Includes this VM.
    std::unordered_map<ModelId, ModelRoute> m_models;
    std::unordered_map<ServiceId, ServiceRoute> m_services;
    std::unordered_map<std::string, Customer> m_customersByKeyHash;

    const ModelRoute *findModel(const ModelId &id) const;
    const ServiceRoute *findService(const ServiceId &id) const;
    const Customer *findCustomer(std::string_view key) const;
};

using RoutingViewPtr = std::shared_ptr<const RoutingView>;

/// What is known of endpoints besides the intent: those reported as leaving by any source.
using LeavingEndpoints = std::vector<EndpointId>;

/// Builds the view of one data centre.
RoutingViewPtr buildRoutingView(std::shared_ptr<const Intent> intent, DataCentreId dataCentre,
                                std::vector<PeerRoute> peers, const LeavingEndpoints &leaving);

/// Where the control thread puts the view and traffic threads take it.
class RoutingViewHolder
{
public:
    void publish(RoutingViewPtr view) { m_view.store(std::move(view)); }
    /// The newest view; null before the first.
    RoutingViewPtr get() const { return m_view.load(); }

private:
    std::atomic<RoutingViewPtr> m_view;
};

} // namespace stackquay
