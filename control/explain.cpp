#include "control/explain.h"

#include <algorithm>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace stackquay {

namespace {

constexpr size_t ListedOrders = 20;

ExplainedFigure figure(std::string name, uint64_t value)
{
    return { std::move(name), fmt::format("{}", value) };
}

std::string describe(const LoadedModel &loaded)
{
    return fmt::format(
        "{} {}{}{}", loaded.m_model.str(), loaded.m_version, loaded.m_loading ? " (loading)" : "",
        loaded.m_adapters.empty() ? ""
                                  : fmt::format(" with {}", fmt::join(loaded.m_adapters, ", ")));
}

std::string describe(const PlannedOrder &order)
{
    return fmt::format("{} {} {}{}{}: {}", orderActionName(order.m_key.m_action),
                       order.m_key.m_model.str(), order.m_key.m_version,
                       order.m_key.m_adapter.empty() ? "" : " " + order.m_key.m_adapter,
                       order.m_due ? "" : " (waiting)", order.m_reason);
}

/// One sentence on what an endpoint gets, and the cause.
std::string decideEndpoint(const Endpoint &endpoint, const EngineReport *report)
{
    const std::string name = endpoint.m_id.str();
    if (endpoint.m_draining)
        return fmt::format("{} gets no new work: it is declared as draining.", name);
    if (endpoint.m_kind == EndpointKind::Service)
        return fmt::format("{} gets calls of the service {}.", name,
                           endpoint.m_service.value_or(ServiceId()).str());
    if (!report)
        return fmt::format("{} gets no orders: its state cannot be read.", name);
    const auto serves = [&](const ModelId &model) {
        return std::any_of(report->m_models.begin(), report->m_models.end(),
                           [&](const LoadedModel &loaded) {
                               return loaded.m_model == model && !loaded.m_loading;
                           });
    };
    std::vector<std::string> serving;
    for (const ModelId &model : endpoint.m_models) {
        if (serves(model))
            serving.push_back(model.str());
    }
    if (serving.empty())
        return fmt::format("{} reports none of its declared models as loaded.", name);
    return fmt::format("{} serves {}.", name, fmt::join(serving, ", "));
}

std::string decideModel(const ModelProgress &progress, const Model &model)
{
    const std::string subject = model.m_id.str() + " " + model.m_version;
    if (progress.m_engines == 0)
        return fmt::format("{} is not served here: no engine is declared for it.", subject);
    if (progress.m_current == progress.m_engines)
        return fmt::format("{} serves on all {} of its engines.", subject, progress.m_engines);
    if (progress.m_current >= progress.m_declared)
        return fmt::format("{} serves on {} engines, of which {} are declared as replicas.",
                           subject, progress.m_current, progress.m_declared);
    return fmt::format("{} serves on {} engines, fewer than the {} declared.", subject,
                       progress.m_current, progress.m_declared);
}

template<typename Matches>
void addOrders(Explanation &explanation, const ReconcilePlan &plan, Matches &&matches)
{
    size_t listed = 0;
    for (const PlannedOrder &order : plan.m_orders) {
        if (!matches(order.m_key) || ++listed > ListedOrders)
            continue;
        explanation.m_figures.push_back(
            { fmt::format("order {}", order.m_key.m_endpoint.str()), describe(order) });
    }
    if (listed > ListedOrders)
        explanation.m_figures.push_back(figure("further orders", listed - ListedOrders));
}

} // namespace

Result<Explanation> explainEndpoint(const Intent &intent, const EndpointId &id,
                                    const EngineReports &reports, const ReconcilePlan &plan)
{
    const auto endpoint =
        std::find_if(intent.m_endpoints.begin(), intent.m_endpoints.end(),
                     [&](const Endpoint &candidate) { return candidate.m_id == id; });
    if (endpoint == intent.m_endpoints.end())
        return makeError(ErrorCode::NotFound, fmt::format("found no endpoint {}", id.str()));
    const auto found = reports.find(id);
    const EngineReport *report = found == reports.end() ? nullptr : &found->second;
    Explanation explanation;
    explanation.m_decision = decideEndpoint(*endpoint, report);
    explanation.m_figures = { { "data_centre", endpoint->m_dataCentre.str() },
                              { "address", endpoint->m_address },
                              { "draining", endpoint->m_draining ? "true" : "false" },
                              figure("revision", intent.m_revision) };
    if (report) {
        for (const LoadedModel &loaded : report->m_models)
            explanation.m_figures.push_back({ "reported", describe(loaded) });
        explanation.m_figures.push_back(figure("fence", report->m_fence));
    }
    addOrders(explanation, plan, [&](const OrderKey &key) { return key.m_endpoint == id; });
    return explanation;
}

Result<Explanation> explainModel(const Intent &intent, const ModelId &id,
                                 const DataCentreId &dataCentre, const ReconcilePlan &plan)
{
    const auto model = std::find_if(intent.m_models.begin(), intent.m_models.end(),
                                    [&](const Model &candidate) { return candidate.m_id == id; });
    if (model == intent.m_models.end())
        return makeError(ErrorCode::NotFound, fmt::format("found no model {}", id.str()));
    const bool known =
        std::any_of(intent.m_dataCentres.begin(), intent.m_dataCentres.end(),
                    [&](const DataCentre &candidate) { return candidate.m_id == dataCentre; });
    if (!known)
        return makeError(ErrorCode::NotFound,
                         fmt::format("found no data_centre {}", dataCentre.str()));
    ModelProgress progress;
    for (const ModelProgress &candidate : plan.m_models) {
        if (candidate.m_model == id)
            progress = candidate;
    }
    Explanation explanation;
    explanation.m_decision = decideModel(progress, *model);
    explanation.m_figures = { { "data_centre", dataCentre.str() },
                              { "version", model->m_version },
                              figure("declared replicas", progress.m_declared),
                              figure("engines", progress.m_engines),
                              figure("serve this version", progress.m_current),
                              figure("serve another version", progress.m_older),
                              figure("loading", progress.m_loading),
                              figure("unreachable", progress.m_unreachable),
                              figure("loads in flight", plan.m_loadsInFlight),
                              figure("weight-store budget", intent.m_weightLoadsAtOnce),
                              figure("revision", intent.m_revision) };
    addOrders(explanation, plan, [&](const OrderKey &key) { return key.m_model == id; });
    return explanation;
}

} // namespace stackquay
