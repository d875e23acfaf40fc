#include "policy/intent_check.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include <boost/asio/ip/address_v4.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace stackquay {

namespace {

constexpr size_t MaxNameLength = 64;
constexpr size_t KeyHashLength = 64; ///< SHA-256 in hex.
constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr uint32_t MaxSpan = 64;
constexpr uint32_t MaxLoadsAtOnce = 1000;
constexpr int MinPriority = -100;
constexpr int MaxPriority = 100;

using Names = std::set<std::string>;

template<typename Entity>
const std::string &nameOf(const Entity &entity)
{
    if constexpr (requires { entity.m_id; })
        return entity.m_id.str();
    else
        return entity.m_name;
}

template<typename Entity>
Names namesOf(const std::vector<Entity> &entities)
{
    Names names;
    for (const Entity &entity : entities)
        names.insert(nameOf(entity));
    return names;
}

bool isName(std::string_view text)
{
    const auto allowed = [](unsigned char c) {
        return std::isalnum(c) || c == '.' || c == '_' || c == '-';
    };
    return !text.empty() && text.size() <= MaxNameLength
           && std::all_of(text.begin(), text.end(), allowed);
}

bool isKeyHash(std::string_view text)
{
    return text.size() == KeyHashLength
           && text.find_first_not_of(HexDigits) == std::string_view::npos;
}

bool isAddress(const std::string &text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    boost::system::error_code error;
    boost::asio::ip::make_address_v4(text.substr(0, colon), error);
    const std::string port = text.substr(colon + 1);
    constexpr size_t MaxPortDigits = 5;
    const bool digits = !port.empty() && port.size() <= MaxPortDigits
                        && port.find_first_not_of("0123456789") == std::string::npos;
    constexpr int MaxPort = 65535;
    return !error && digits && std::stoi(port) >= 1 && std::stoi(port) <= MaxPort;
}

std::string joinNames(const Names &names)
{
    return names.empty() ? "none, as none is declared" : fmt::format("{}", fmt::join(names, ", "));
}

/// Collects the problems of one intent.
class Checker
{
public:
    explicit Checker(const Intent &intent)
        : m_intent(intent)
        , m_dataCentres(namesOf(intent.m_dataCentres))
        , m_models(namesOf(intent.m_models))
    { }

    std::vector<IntentProblem> run()
    {
        checkNames("region", m_intent.m_regions);
        checkNames("data_centre", m_intent.m_dataCentres);
        checkNames("model", m_intent.m_models);
        checkNames("service", m_intent.m_services);
        checkNames("endpoint", m_intent.m_endpoints);
        checkNames("customer", m_intent.m_customers);
        checkNames("objective", m_intent.m_objectives);
        checkNames("operator", m_intent.m_operators);
        checkDataCentres();
        checkModels();
        checkServices();
        checkEndpoints();
        checkCustomers();
        checkObjectives();
        checkKeys();
        if (m_intent.m_weightLoadsAtOnce < 1 || m_intent.m_weightLoadsAtOnce > MaxLoadsAtOnce)
            add("intent", "weight_loads_at_once", m_intent.m_weightLoadsAtOnce,
                fmt::format("1 to {}", MaxLoadsAtOnce));
        return std::move(m_problems);
    }

private:
    template<typename Found>
    void add(std::string entity, std::string field, const Found &found, std::string allowed)
    {
        m_problems.push_back(
            { std::move(entity), std::move(field), fmt::format("{}", found), std::move(allowed) });
    }

    template<typename Entity>
    void checkNames(std::string_view kind, const std::vector<Entity> &entities)
    {
        Names seen;
        for (const Entity &entity : entities) {
            const std::string &name = nameOf(entity);
            const std::string label = fmt::format("{} {}", kind, name);
            if (!isName(name))
                add(label, "name", fmt::format("\"{}\"", name),
                    fmt::format("1 to {} of letters, digits, '.', '_' and '-'", MaxNameLength));
            if (!seen.insert(name).second)
                add(label, "name", "the name twice", "each name once");
        }
    }

    void checkKnown(const std::string &entity, const char *field, const std::string &name,
                    const Names &known)
    {
        if (!known.count(name))
            add(entity, field, fmt::format("\"{}\"", name), joinNames(known));
    }

    void checkAddress(const std::string &entity, const char *field, const std::string &address)
    {
        if (!isAddress(address))
            add(entity, field, fmt::format("\"{}\"", address), "a.b.c.d:port, port 1 to 65535");
    }

    void checkDataCentres()
    {
        const Names regions = namesOf(m_intent.m_regions);
        for (const DataCentre &dataCentre : m_intent.m_dataCentres) {
            const std::string entity = "data_centre " + dataCentre.m_id.str();
            checkKnown(entity, "region", dataCentre.m_region.str(), regions);
            for (const std::string &relay : dataCentre.m_relays)
                checkAddress(entity, "relays", relay);
        }
    }

    uint32_t enginesOf(const ModelId &model, const DataCentreId &dataCentre) const
    {
        const auto serves = [&](const Endpoint &endpoint) {
            return endpoint.m_kind == EndpointKind::Engine && endpoint.m_dataCentre == dataCentre
                   && std::count(endpoint.m_models.begin(), endpoint.m_models.end(), model) > 0;
        };
        return std::count_if(m_intent.m_endpoints.begin(), m_intent.m_endpoints.end(), serves);
    }

    void checkReplicas(const Model &model, const std::string &entity)
    {
        Names seen;
        for (const ReplicaCount &replicas : model.m_replicas) {
            const std::string &dataCentre = replicas.m_dataCentre.str();
            checkKnown(entity, "replicas", dataCentre, m_dataCentres);
            if (!seen.insert(dataCentre).second)
                add(entity, "replicas", dataCentre + " twice", "each data centre once");
            const uint32_t engines = enginesOf(model.m_id, replicas.m_dataCentre);
            if (replicas.m_count > engines)
                add(entity, "replicas", fmt::format("{} in {}", replicas.m_count, dataCentre),
                    fmt::format("up to {}, its engines there", engines));
        }
    }

    void checkModels()
    {
        for (const Model &model : m_intent.m_models) {
            const std::string entity = "model " + model.m_id.str();
            const Names versions(model.m_versions.begin(), model.m_versions.end());
            if (!isName(model.m_version))
                add(entity, "version", fmt::format("\"{}\"", model.m_version), "a version's name");
            else if (!versions.empty())
                checkKnown(entity, "version", model.m_version, versions);
            checkDistinct(entity, "versions", model.m_versions);
            checkDistinct(entity, "adapters", model.m_adapters);
            if (model.m_maxTokens == 0)
                add(entity, "max_tokens", 0, "at least 1");
            if (model.m_maxSpan < 1 || model.m_maxSpan > MaxSpan)
                add(entity, "max_span", model.m_maxSpan, fmt::format("1 to {}", MaxSpan));
            checkReplicas(model, entity);
        }
    }

    void checkDistinct(const std::string &entity, const char *field,
                       const std::vector<std::string> &names)
    {
        Names seen;
        for (const std::string &name : names) {
            if (!isName(name))
                add(entity, field, fmt::format("\"{}\"", name), "names");
            if (!seen.insert(name).second)
                add(entity, field, fmt::format("\"{}\" twice", name), "each once");
        }
    }

    void checkServices()
    {
        for (const Service &service : m_intent.m_services) {
            if (service.m_retention.count() < 1)
                add("service " + service.m_id.str(), "retention_hours", service.m_retention.count(),
                    "at least 1");
        }
    }

    void checkEndpoints()
    {
        std::map<std::string, std::string> addresses;
        const Names services = namesOf(m_intent.m_services);
        for (const Endpoint &endpoint : m_intent.m_endpoints) {
            const std::string entity = "endpoint " + endpoint.m_id.str();
            checkKnown(entity, "data_centre", endpoint.m_dataCentre.str(), m_dataCentres);
            checkAddress(entity, "address", endpoint.m_address);
            const auto [first, isNew] = addresses.emplace(endpoint.m_address, entity);
            if (!isNew)
                add(entity, "address", endpoint.m_address,
                    "one that is not " + first->second + "'s");
            if (endpoint.m_kind == EndpointKind::Engine)
                checkEngine(endpoint, entity);
            else
                checkServiceEndpoint(endpoint, entity, services);
        }
    }

    void checkEngine(const Endpoint &endpoint, const std::string &entity)
    {
        for (const ModelId &model : endpoint.m_models)
            checkKnown(entity, "models", model.str(), m_models);
        if (endpoint.m_service)
            add(entity, "service", endpoint.m_service->str(), "none for an engine");
    }

    void checkServiceEndpoint(const Endpoint &endpoint, const std::string &entity,
                              const Names &services)
    {
        if (!endpoint.m_models.empty())
            add(entity, "models", endpoint.m_models.front().str(), "none for a service");
        checkKnown(entity, "service", endpoint.m_service.value_or(ServiceId()).str(), services);
    }

    void checkCustomers()
    {
        for (const Customer &customer : m_intent.m_customers) {
            const std::string entity = "customer " + customer.m_id.str();
            if (!(customer.m_tokensPerSecond >= 0) || !std::isfinite(customer.m_tokensPerSecond))
                add(entity, "tokens_per_second", customer.m_tokensPerSecond,
                    "0 (no limit) or more");
            if (!(customer.m_share > 0) || !std::isfinite(customer.m_share))
                add(entity, "share", customer.m_share, "more than 0");
            if (customer.m_priority < MinPriority || customer.m_priority > MaxPriority)
                add(entity, "priority", customer.m_priority,
                    fmt::format("{} to {}", MinPriority, MaxPriority));
            checkGuarantees(customer, entity);
        }
    }

    void checkGuarantees(const Customer &customer, const std::string &entity)
    {
        Names seen;
        double tokensPerSecond = 0;
        uint64_t concurrency = 0;
        for (const Guarantee &guarantee : customer.m_guarantees) {
            const std::string &dataCentre = guarantee.m_dataCentre.str();
            checkKnown(entity, "guarantees", dataCentre, m_dataCentres);
            if (!seen.insert(dataCentre).second)
                add(entity, "guarantees", dataCentre + " twice", "each data centre once");
            if (!(guarantee.m_tokensPerSecond >= 0))
                add(entity, "guarantees", guarantee.m_tokensPerSecond, "0 or more");
            tokensPerSecond += guarantee.m_tokensPerSecond;
            concurrency += guarantee.m_concurrency;
        }
        if (customer.m_tokensPerSecond > 0 && tokensPerSecond > customer.m_tokensPerSecond)
            add(entity, "tokens_per_second", customer.m_tokensPerSecond,
                fmt::format("at least {}, the sum of its guarantees", tokensPerSecond));
        if (customer.m_concurrency > 0 && concurrency > customer.m_concurrency)
            add(entity, "concurrency", customer.m_concurrency,
                fmt::format("at least {}, the sum of its guarantees", concurrency));
    }

    void checkObjectives()
    {
        const Names customers = namesOf(m_intent.m_customers);
        for (const Objective &objective : m_intent.m_objectives) {
            const std::string entity = "objective " + objective.m_name;
            if (objective.m_customer)
                checkKnown(entity, "customer", objective.m_customer->str(), customers);
            if (objective.m_model)
                checkKnown(entity, "model", objective.m_model->str(), m_models);
            if (objective.m_ttft.count() < 1)
                add(entity, "ttft_ms", objective.m_ttft.count(), "at least 1");
            if (!(objective.m_target > 0 && objective.m_target < 1))
                add(entity, "target", objective.m_target, "more than 0 and less than 1");
        }
    }

    void checkKeys()
    {
        std::map<std::string, std::string> owners;
        for (const Customer &customer : m_intent.m_customers) {
            for (const std::string &hash : customer.m_keyHashes)
                checkKey("customer " + customer.m_id.str(), "key_hashes", hash, owners);
        }
        for (const Operator &operatorEntry : m_intent.m_operators)
            checkKey("operator " + operatorEntry.m_name, "key_hash", operatorEntry.m_keyHash,
                     owners);
    }

    void checkKey(const std::string &entity, const char *field, const std::string &hash,
                  std::map<std::string, std::string> &owners)
    {
        if (!isKeyHash(hash))
            return add(entity, field, fmt::format("\"{}\"", hash),
                       fmt::format("SHA-256 in {} hex digits", KeyHashLength));
        const auto [first, isNew] = owners.emplace(hash, entity);
        if (!isNew)
            add(entity, field, hash.substr(0, 8) + "...",
                "one that is not used already by " + first->second);
    }

    const Intent &m_intent;
    Names m_dataCentres;
    Names m_models;
    std::vector<IntentProblem> m_problems;
};

} // namespace

std::string toString(const IntentProblem &problem)
{
    return fmt::format("{}, {}: found {}, allowed {}.", problem.m_entity, problem.m_field,
                       problem.m_found, problem.m_allowed);
}

std::vector<IntentProblem> checkIntent(const Intent &intent)
{
    return Checker(intent).run();
}

} // namespace stackquay
