#include "control/engine_orders.h"

#include <fmt/format.h>

#include "core/json_fields.h"

namespace stackquay {

namespace {

constexpr Millis CallTimeout{ 1'000 };
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned FirstServerError = 500;

std::string textField(const IntentJson &json, const char *name)
{
    const auto field = json.find(name);
    return field != json.end() && field->is_string() ? field->get<std::string>() : "";
}

LoadedModel parseModel(const IntentJson &json)
{
    LoadedModel model;
    model.m_model = ModelId(textField(json, "model"));
    model.m_version = textField(json, "version");
    const auto loading = json.find("loading");
    model.m_loading = loading != json.end() && loading->is_boolean() && loading->get<bool>();
    const auto adapters = json.find("adapters");
    if (adapters == json.end() || !adapters->is_array())
        return model;
    for (const IntentJson &adapter : *adapters) {
        if (adapter.is_string())
            model.m_adapters.push_back(adapter.get<std::string>());
    }
    return model;
}

Result<EngineReport> parseReport(const std::string &body)
{
    const IntentJson json = parseJson<IntentJson>(body).value_or(IntentJson::value_t::discarded);
    if (!json.is_object() || !json.contains("models") || !json["models"].is_array())
        return makeError(ErrorCode::ProtocolError, "the engine's state is malformed");
    EngineReport report;
    for (const IntentJson &model : json["models"]) {
        if (model.is_object())
            report.m_models.push_back(parseModel(model));
    }
    const auto fence = json.find("fence");
    if (fence != json.end() && fence->is_number_unsigned())
        report.m_fence = fence->get<uint64_t>();
    return report;
}

std::string orderBody(const EngineOrder &order)
{
    const IntentJson json = { { "order", order.m_id.str() },
                              { "fence", order.m_fence },
                              { "action", orderActionName(order.m_key.m_action) },
                              { "model", order.m_key.m_model.str() },
                              { "version", order.m_key.m_version },
                              { "adapter", order.m_key.m_adapter } };
    return json.dump();
}

Result<EngineReport> readState(HttpPool &pool, const Endpoint &endpoint)
{
    const Result<Address> address = parseAddress(endpoint.m_address);
    if (!address)
        return tl::unexpected(address.error());
    const auto response = pool.call(*address, { "GET", "/state", {}, "" }, { CallTimeout });
    if (!response)
        return tl::unexpected(response.error());
    if (response->m_status != StatusOk)
        return makeError(ErrorCode::Unavailable, fmt::format("status {}", response->m_status));
    return parseReport(response->m_body);
}

Status send(HttpPool &pool, const Endpoint &endpoint, const EngineOrder &order)
{
    const Result<Address> address = parseAddress(endpoint.m_address);
    if (!address)
        return tl::unexpected(address.error());
    const HttpRequest request{
        "POST", "/orders", { { "Content-Type", "application/json" } }, orderBody(order)
    };
    const auto response = pool.call(*address, request, { CallTimeout });
    if (!response)
        return tl::unexpected(response.error());
    if (response->m_status == StatusOk)
        return {};
    if (response->m_status == StatusConflict)
        return makeError(ErrorCode::Conflict, "the fencing number is old");
    const bool broken = response->m_status >= FirstServerError;
    return makeError(broken ? ErrorCode::Unavailable : ErrorCode::InvalidArgument,
                     fmt::format("status {}", response->m_status));
}

} // namespace

void bindEngines(ReconcilerEnvironment &environment, HttpPool &pool)
{
    environment.m_readState = [&pool](const Endpoint &endpoint) {
        return readState(pool, endpoint);
    };
    environment.m_send = [&pool](const Endpoint &endpoint, const EngineOrder &order) {
        return send(pool, endpoint, order);
    };
}

} // namespace stackquay
