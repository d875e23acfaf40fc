#include "policy/reconcile.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

template<typename T>
bool contains(const std::vector<T> &list, const T &item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

bool isLoad(OrderAction action)
{
    return action == OrderAction::Load || action == OrderAction::LoadAdapter;
}

const LoadedModel *findVersion(const EngineReport &report, const Model &model)
{
    for (const LoadedModel &loaded : report.m_models) {
        if (loaded.m_model == model.m_id && loaded.m_version == model.m_version)
            return &loaded;
    }
    return nullptr;
}

/// Whether the engine serves any version of the model. While it loads a version, it serves none.
bool servesAny(const EngineReport &report, const ModelId &model)
{
    bool serves = false;
    for (const LoadedModel &loaded : report.m_models) {
        if (loaded.m_model != model)
            continue;
        if (loaded.m_loading)
            return false;
        serves = true;
    }
    return serves;
}

uint32_t declaredReplicas(const Model &model, const DataCentreId &dataCentre)
{
    for (const ReplicaCount &replicas : model.m_replicas) {
        if (replicas.m_dataCentre == dataCentre)
            return replicas.m_count;
    }
    return 0;
}

/// Plans the orders of one data centre.
class Planner
{
public:
    Planner(const Intent &intent, const DataCentreId &dataCentre, const EngineReports &reports,
            const std::vector<OrderKey> &inFlight)
        : m_intent(intent)
        , m_dataCentre(dataCentre)
        , m_reports(reports)
        , m_inFlight(inFlight)
    { }

    ReconcilePlan run()
    {
        m_plan.m_loadsInFlight = countLoads();
        for (const Model &model : m_intent.m_models) {
            if (!model.m_version.empty())
                planModel(model);
        }
        for (const Endpoint &endpoint : m_intent.m_endpoints)
            planUndeclared(endpoint);
        return std::move(m_plan);
    }

private:
    bool isEngineHere(const Endpoint &endpoint) const
    {
        return endpoint.m_kind == EndpointKind::Engine && endpoint.m_dataCentre == m_dataCentre
               && !endpoint.m_draining;
    }

    const EngineReport *findReport(const EndpointId &endpoint) const
    {
        const auto found = m_reports.find(endpoint);
        return found == m_reports.end() ? nullptr : &found->second;
    }

    uint32_t countLoads() const
    {
        uint32_t loads = 0;
        for (const auto &[endpoint, report] : m_reports)
            loads += std::count_if(report.m_models.begin(), report.m_models.end(),
                                   [](const LoadedModel &loaded) { return loaded.m_loading; });
        for (const OrderKey &key : m_inFlight)
            loads += isLoad(key.m_action) && !isReported(key);
        return loads;
    }

    /// Whether a report already shows the model version or adapter of a load, loading or loaded.
    bool isReported(const OrderKey &key) const
    {
        const EngineReport *report = findReport(key.m_endpoint);
        if (!report)
            return false;
        return std::any_of(
            report->m_models.begin(), report->m_models.end(), [&](const LoadedModel &loaded) {
                return loaded.m_model == key.m_model && loaded.m_version == key.m_version
                       && (key.m_adapter.empty() || contains(loaded.m_adapters, key.m_adapter));
            });
    }

    void planModel(const Model &model)
    {
        std::vector<const Endpoint *> idle;
        std::vector<const Endpoint *> serving;
        ModelProgress progress;
        progress.m_model = model.m_id;
        progress.m_declared = declaredReplicas(model, m_dataCentre);
        for (const Endpoint &endpoint : m_intent.m_endpoints) {
            if (!isEngineHere(endpoint) || !contains(endpoint.m_models, model.m_id))
                continue;
            ++progress.m_engines;
            const EngineReport *report = findReport(endpoint.m_id);
            if (!report)
                ++progress.m_unreachable;
            else if (countEngine(model, *report, progress))
                (servesAny(*report, model.m_id) ? serving : idle).push_back(&endpoint);
        }
        m_serving = countServing(model);
        for (const Endpoint *endpoint : idle)
            planLoad(model, *endpoint, false, progress);
        for (const Endpoint *endpoint : serving)
            planLoad(model, *endpoint, true, progress);
        planAdaptersAndUnloads(model);
        m_plan.m_models.push_back(progress);
    }

    /// Adds the engine to @p progress. Returns whether it neither has nor loads the declared
    /// version.
    static bool countEngine(const Model &model, const EngineReport &report, ModelProgress &progress)
    {
        const LoadedModel *current = findVersion(report, model);
        if (current && !current->m_loading)
            ++progress.m_current;
        else if (servesAny(report, model.m_id))
            ++progress.m_older;
        if (current && current->m_loading)
            ++progress.m_loading;
        return !current;
    }

    /// Number of engines that serve the model and have no load order in flight for it.
    uint32_t countServing(const Model &model) const
    {
        uint32_t serving = 0;
        for (const Endpoint &endpoint : m_intent.m_endpoints) {
            const EngineReport *report = findReport(endpoint.m_id);
            const bool eligible =
                report && isEngineHere(endpoint) && contains(endpoint.m_models, model.m_id);
            const bool loadInFlight =
                std::any_of(m_inFlight.begin(), m_inFlight.end(), [&](const OrderKey &key) {
                    return key.m_endpoint == endpoint.m_id && key.m_action == OrderAction::Load
                           && key.m_model == model.m_id && !isReported(key);
                });
            serving += eligible && !loadInFlight && servesAny(*report, model.m_id);
        }
        return serving;
    }

    bool isInFlight(const OrderKey &key) const { return contains(m_inFlight, key); }

    void planLoad(const Model &model, const Endpoint &endpoint, bool serves,
                  const ModelProgress &progress)
    {
        const OrderKey key{ endpoint.m_id, OrderAction::Load, model.m_id, model.m_version, "" };
        if (isInFlight(key)) {
            add(key, true, "sent, not yet in the engine's report");
            return;
        }
        const bool belowMinimum = serves && m_serving <= progress.m_declared;
        if (belowMinimum) {
            add(key, false,
                fmt::format("{} serve, {} are declared: none can be spared", m_serving,
                            progress.m_declared));
            return;
        }
        const bool due = addLoad(key);
        if (due && serves)
            --m_serving;
    }

    /// Adds a load, which is due if the weight-store budget has room for it. Returns whether it is
    /// due.
    bool addLoad(const OrderKey &key)
    {
        const uint32_t budget = m_intent.m_weightLoadsAtOnce;
        if (m_plan.m_loadsInFlight >= budget) {
            add(key, false,
                fmt::format("all {} loads of the weight-store budget are in flight", budget));
            return false;
        }
        ++m_plan.m_loadsInFlight;
        add(key, true, "declared and not reported");
        return true;
    }

    /// Plans the adapters, and the unloading of other versions, of engines that serve the declared
    /// version.
    void planAdaptersAndUnloads(const Model &model)
    {
        for (const Endpoint &endpoint : m_intent.m_endpoints) {
            const EngineReport *report = findReport(endpoint.m_id);
            if (!report || !isEngineHere(endpoint) || !contains(endpoint.m_models, model.m_id))
                continue;
            const LoadedModel *current = findVersion(*report, model);
            if (!current || current->m_loading)
                continue;
            planAdapters(model, endpoint, *current);
            for (const LoadedModel &loaded : report->m_models) {
                if (loaded.m_model == model.m_id && loaded.m_version != model.m_version)
                    add({ endpoint.m_id, OrderAction::Unload, model.m_id, loaded.m_version, "" },
                        true, "the declared version serves");
            }
        }
    }

    void planAdapters(const Model &model, const Endpoint &endpoint, const LoadedModel &current)
    {
        for (const std::string &adapter : model.m_adapters) {
            if (contains(current.m_adapters, adapter))
                continue;
            const OrderKey key{ endpoint.m_id, OrderAction::LoadAdapter, model.m_id,
                                model.m_version, adapter };
            if (isInFlight(key))
                add(key, true, "sent, not yet in the engine's report");
            else
                addLoad(key);
        }
        for (const std::string &adapter : current.m_adapters) {
            if (!contains(model.m_adapters, adapter))
                add({ endpoint.m_id, OrderAction::UnloadAdapter, model.m_id, model.m_version,
                      adapter },
                    true, "not declared");
        }
    }

    /// Plans to unload the models that the engine reports and that are not declared for it.
    void planUndeclared(const Endpoint &endpoint)
    {
        const EngineReport *report = findReport(endpoint.m_id);
        if (!report || !isEngineHere(endpoint))
            return;
        for (const LoadedModel &loaded : report->m_models) {
            if (!contains(endpoint.m_models, loaded.m_model))
                add({ endpoint.m_id, OrderAction::Unload, loaded.m_model, loaded.m_version, "" },
                    true, "not declared for this engine");
        }
    }

    void add(OrderKey key, bool due, std::string reason)
    {
        m_plan.m_orders.push_back({ std::move(key), due, std::move(reason) });
    }

    const Intent &m_intent;
    const DataCentreId &m_dataCentre;
    const EngineReports &m_reports;
    const std::vector<OrderKey> &m_inFlight;
    uint32_t m_serving = 0; ///< Engines that serve the current model and will not be loading.
    ReconcilePlan m_plan;
};

} // namespace

std::string_view orderActionName(OrderAction action)
{
    switch (action) {
    case OrderAction::Load:
        return "load";
    case OrderAction::Unload:
        return "unload";
    case OrderAction::LoadAdapter:
        return "load_adapter";
    case OrderAction::UnloadAdapter:
        return "unload_adapter";
    }
    std::abort();
}

ReconcilePlan planReconcile(const Intent &intent, const DataCentreId &dataCentre,
                            const EngineReports &reports, const std::vector<OrderKey> &inFlight)
{
    return Planner(intent, dataCentre, reports, inFlight).run();
}

} // namespace stackquay
