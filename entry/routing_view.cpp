#include "entry/routing_view.h"

#include <algorithm>

namespace stackquay {

namespace {

bool contains(const DrainingEndpoints &endpoints, const EndpointId &id)
{
    return std::find(endpoints.begin(), endpoints.end(), id) != endpoints.end();
}

/// Number of shards of each model. An engine belongs to a shard of the first model that it serves,
/// so that a model's engines are spread over as few shards as possible.
using ShardCounts = std::unordered_map<ModelId, uint32_t>;

ShardCounts countShards(const Intent &intent, const DataCentreId &dataCentre)
{
    std::unordered_map<ModelId, size_t> engines;
    for (const Endpoint &endpoint : intent.m_endpoints) {
        if (endpoint.m_dataCentre == dataCentre && !endpoint.m_models.empty())
            ++engines[endpoint.m_models.front()];
    }
    ShardCounts counts;
    for (const auto &[model, count] : engines)
        counts[model] = shardCount(count);
    return counts;
}

std::string shardKeyOf(const Endpoint &endpoint, const ShardCounts &counts)
{
    if (endpoint.m_models.empty())
        return {};
    const ModelId &model = endpoint.m_models.front();
    const DataCentreId group(endpoint.m_dataCentre.str() + "/" + model.str());
    return shardKey(group, shardOf(endpoint.m_id, counts.at(model)));
}

void addEndpoint(RoutingView &view, const Endpoint &endpoint, bool leaving,
                 const ShardCounts &shards)
{
    const auto address = parseAddress(endpoint.m_address);
    if (!address) {
        log(LogPart::Entry)
            .warn("Endpoint address is invalid; ignoring the endpoint. endpoint={}",
                  endpoint.m_id.str());
        return;
    }
    const EndpointRoute route{ endpoint.m_id, *address, endpoint.m_draining || leaving,
                               shardKeyOf(endpoint, shards) };
    for (const ModelId &model : endpoint.m_models) {
        const auto found = view.m_models.find(model);
        if (found != view.m_models.end())
            found->second.m_endpoints.push_back(route);
    }
    if (!endpoint.m_service)
        return;
    const auto found = view.m_services.find(*endpoint.m_service);
    if (found != view.m_services.end())
        found->second.m_endpoints.push_back(route);
}

void sortEndpoints(std::vector<EndpointRoute> &endpoints)
{
    std::sort(endpoints.begin(), endpoints.end(),
              [](const EndpointRoute &a, const EndpointRoute &b) { return a.m_id < b.m_id; });
}

} // namespace

const ModelRoute *RoutingView::findModel(const ModelId &id) const
{
    const auto found = m_models.find(id);
    return found == m_models.end() ? nullptr : &found->second;
}

const ServiceRoute *RoutingView::findService(const ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &found->second;
}

const Customer *RoutingView::findCustomer(std::string_view key) const
{
    const auto found = m_customersByKeyHash.find(hashKey(key));
    return found == m_customersByKeyHash.end() ? nullptr : &found->second;
}

RoutingViewPtr buildRoutingView(std::shared_ptr<const Intent> intent, DataCentreId dataCentre,
                                std::vector<PeerRoute> peers, const DrainingEndpoints &leaving)
{
    auto view = std::make_shared<RoutingView>();
    view->m_revision = intent->m_revision;
    view->m_dataCentre = std::move(dataCentre);
    view->m_peers = std::move(peers);
    for (const Model &model : intent->m_models)
        view->m_models[model.m_id].m_model = model;
    for (const Service &service : intent->m_services)
        view->m_services[service.m_id].m_service = service;
    const ShardCounts shards = countShards(*intent, view->m_dataCentre);
    for (const Endpoint &endpoint : intent->m_endpoints) {
        if (endpoint.m_dataCentre == view->m_dataCentre)
            addEndpoint(*view, endpoint, contains(leaving, endpoint.m_id), shards);
    }
    for (auto &[id, route] : view->m_models)
        sortEndpoints(route.m_endpoints);
    for (auto &[id, route] : view->m_services)
        sortEndpoints(route.m_endpoints);
    for (const Customer &customer : intent->m_customers) {
        for (const std::string &hash : customer.m_keyHashes)
            view->m_customersByKeyHash[hash] = customer;
    }
    view->m_intent = std::move(intent);
    return view;
}

} // namespace stackquay
