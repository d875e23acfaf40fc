#include "control/reconciler.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

/// How long an accepted order may take until the engine's state shows it, before it is sent anew.
constexpr Seconds AcceptedGrace{ 10 };

const Endpoint *findEndpoint(const Intent &intent, const EndpointId &id)
{
    for (const Endpoint &endpoint : intent.m_endpoints) {
        if (endpoint.m_id == id)
            return &endpoint;
    }
    return nullptr;
}

/// Whether the engine said that it did not carry the order out.
bool isRefusal(ErrorCode code)
{
    return code == ErrorCode::Conflict || code == ErrorCode::InvalidArgument
           || code == ErrorCode::ResourceExhausted;
}

/// Whether the engine's state already shows a load, in progress or done.
bool showsLoad(const EngineReports &reports, const OrderKey &key)
{
    const auto report = reports.find(key.m_endpoint);
    if (report == reports.end())
        return false;
    for (const LoadedModel &loaded : report->second.m_models) {
        const bool same = loaded.m_model == key.m_model && loaded.m_version == key.m_version;
        const bool adapter =
            key.m_adapter.empty()
            || std::count(loaded.m_adapters.begin(), loaded.m_adapters.end(), key.m_adapter);
        if (same && adapter)
            return true;
    }
    return false;
}

std::string stateName(const PlannedOrder &order, const OrderProgress *progress)
{
    if (!order.m_due)
        return "waiting";
    if (!progress)
        return "planned";
    if (!progress->m_error.empty())
        return "failed";
    return progress->m_accepted ? "accepted" : "sent";
}

} // namespace

Reconciler::Reconciler(DataCentreId dataCentre, ReconcilerEnvironment environment)
    : m_dataCentre(std::move(dataCentre))
    , m_environment(std::move(environment))
{ }

void Reconciler::step()
{
    const std::shared_ptr<const Intent> intent = m_environment.m_intent();
    if (!intent || !m_environment.m_fence()) {
        m_plan = {};
        m_sent.clear();
        return;
    }
    const EngineReports reports = readReports(*intent);
    m_plan = planReconcile(*intent, m_dataCentre, reports, inFlight(reports));
    forgetFinished();
    for (const PlannedOrder &order : m_plan.m_orders) {
        if (order.m_due)
            send(*intent, order);
    }
}

EngineReports Reconciler::readReports(const Intent &intent) const
{
    EngineReports reports;
    for (const Endpoint &endpoint : intent.m_endpoints) {
        if (endpoint.m_kind != EndpointKind::Engine || endpoint.m_dataCentre != m_dataCentre)
            continue;
        Result<EngineReport> report = m_environment.m_readState(endpoint);
        if (report)
            reports.emplace(endpoint.m_id, std::move(*report));
    }
    return reports;
}

/// An order that is no longer planned took effect, or is no longer wanted.
void Reconciler::forgetFinished()
{
    std::erase_if(m_sent, [this](const auto &entry) {
        return std::none_of(m_plan.m_orders.begin(), m_plan.m_orders.end(),
                            [&](const PlannedOrder &order) { return order.m_key == entry.first; });
    });
}

/// Loads that may be under way without being seen yet.
std::vector<OrderKey> Reconciler::inFlight(const EngineReports &reports) const
{
    std::vector<OrderKey> keys;
    for (const auto &[key, progress] : m_sent) {
        const bool load =
            key.m_action == OrderAction::Load || key.m_action == OrderAction::LoadAdapter;
        if (load && progress.m_mayRun && !showsLoad(reports, key))
            keys.push_back(key);
    }
    return keys;
}

OrderProgress &Reconciler::progressFor(const OrderKey &key)
{
    OrderProgress &progress = m_sent[key];
    const TimePoint now = m_environment.m_now();
    const bool effectGone = progress.m_accepted && now - progress.m_lastSent >= AcceptedGrace;
    if (progress.m_tries > 0 && !effectGone)
        return progress;
    if (progress.m_tries == 0)
        progress.m_firstSent = now;
    ++progress.m_tries;
    progress.m_accepted = false;
    progress.m_mayRun = false;
    progress.m_id = OrderId(randomToken());
    return progress;
}

void Reconciler::send(const Intent &intent, const PlannedOrder &order)
{
    const Endpoint *endpoint = findEndpoint(intent, order.m_key.m_endpoint);
    const std::optional<FencingNumber> fence = m_environment.m_fence();
    if (!endpoint || !fence)
        return;
    OrderProgress &progress = progressFor(order.m_key);
    if (progress.m_accepted)
        return;
    progress.m_fence = *fence;
    progress.m_lastSent = m_environment.m_now();
    const Status sent = m_environment.m_send(*endpoint, { progress.m_id, *fence, order.m_key });
    progress.m_accepted = sent.has_value();
    progress.m_mayRun = progress.m_mayRun || sent || !isRefusal(sent.error().m_code);
    progress.m_error = sent ? "" : toString(sent.error());
    log(LogPart::Control)
        .info("Order sent. endpoint={} action={} model={} version={} fence={} error={}",
              endpoint->m_id.str(), orderActionName(order.m_key.m_action),
              order.m_key.m_model.str(), order.m_key.m_version, *fence, progress.m_error);
}

std::vector<OrderRow> Reconciler::orders() const
{
    std::vector<OrderRow> rows;
    for (const PlannedOrder &order : m_plan.m_orders) {
        const auto found = m_sent.find(order.m_key);
        const OrderProgress *progress = found == m_sent.end() ? nullptr : &found->second;
        OrderRow row;
        row.m_endpoint = order.m_key.m_endpoint;
        row.m_action = orderActionName(order.m_key.m_action);
        row.m_model = order.m_key.m_model;
        row.m_version = order.m_key.m_version;
        row.m_adapter = order.m_key.m_adapter;
        row.m_state = stateName(order, progress);
        row.m_reason = order.m_reason;
        if (progress) {
            row.m_id = progress->m_id;
            row.m_fence = progress->m_fence;
            row.m_age =
                std::chrono::duration_cast<Millis>(m_environment.m_now() - progress->m_firstSent);
            if (!progress->m_error.empty())
                row.m_reason = progress->m_error;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace stackquay
