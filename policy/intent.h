/// The intent: the configuration that operators declare, whole and at one revision, as plain
/// structs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "policy/length_class.h"

namespace stackquay {

/// What the choice of an endpoint optimizes.
enum class RoutingObjective {
    ShortSlowdown, ///< Keep short prompts unaffected by long ones.
    TtftByLength, ///< Keep the time to first token low for all prompt lengths.
};

struct Region {
    RegionId m_id;

    bool operator==(const Region &) const = default;
};

struct DataCentre {
    DataCentreId m_id;
    RegionId m_region;
    /// "host:port" of relays that other data centres connect to; may be empty.
    std::vector<std::string> m_relays;

    bool operator==(const DataCentre &) const = default;
};

/// Number of engines of a data centre that have to serve a model.
struct ReplicaCount {
    DataCentreId m_dataCentre;
    uint32_t m_count = 0;

    bool operator==(const ReplicaCount &) const = default;
};

struct Model {
    ModelId m_id;
    std::string m_version; ///< The version to serve.
    std::vector<std::string> m_versions; ///< Versions in the weight store; empty: not checked.
    std::vector<std::string> m_adapters;
    uint64_t m_bytesPerToken = 0; ///< KV cache bytes per token; 0: not known.
    uint64_t m_maxTokens = 1'000'000; ///< Max tokens of prompt and answer together.
    uint32_t m_maxSpan = 1; ///< Max number of engines that one prompt may be placed on.
    RoutingObjective m_objective = RoutingObjective::ShortSlowdown;
    std::vector<ReplicaCount> m_replicas;

    bool operator==(const Model &) const = default;
};

/// A plain service behind the entry VMs.
struct Service {
    ServiceId m_id;
    bool m_repeatable = true; ///< Whether a call may run more than once.
    /// How long the outcomes of non-repeatable calls are stored.
    std::chrono::hours m_retention{ 24 * 8 };

    bool operator==(const Service &) const = default;
};

enum class EndpointKind {
    Engine,
    Service,
};

struct Endpoint {
    EndpointId m_id;
    EndpointKind m_kind = EndpointKind::Engine;
    std::string m_address; ///< "a.b.c.d:port".
    DataCentreId m_dataCentre;
    std::vector<ModelId> m_models; ///< For engines: the models that it may serve.
    std::optional<ServiceId> m_service; ///< For services: which service it belongs to.
    bool m_checksFencing = false; ///< Refuses orders with an outdated fencing number.
    bool m_draining = false; ///< Gets no new requests or orders.

    bool operator==(const Endpoint &) const = default;
};

/// The part of a customer's limits that is reserved for one data centre.
struct Guarantee {
    DataCentreId m_dataCentre;
    double m_tokensPerSecond = 0;
    uint32_t m_concurrency = 0;

    bool operator==(const Guarantee &) const = default;
};

struct Customer {
    CustomerId m_id;
    std::vector<std::string> m_keyHashes; ///< SHA-256 in hex of each bearer key, see hashKey().
    double m_tokensPerSecond = 0; ///< 0: no limit.
    uint32_t m_concurrency = 0; ///< 0: no limit.
    double m_share = 1; ///< Weight in fair queueing.
    int m_priority = 0; ///< Max priority that its requests may set.
    std::vector<Guarantee> m_guarantees; ///< Their sums must not exceed the limits above.

    bool operator==(const Customer &) const = default;
};

/// A service-level objective, for the report of the error budget's burn rate.
struct Objective {
    std::string m_name;
    std::optional<CustomerId> m_customer; ///< No value: all customers.
    std::optional<ModelId> m_model; ///< No value: all models.
    std::optional<LengthClass> m_lengthClass; ///< No value: all length classes.
    Millis m_ttft{ 1600 }; ///< Time to first token.
    double m_target = 0.95; ///< Fraction of requests that have to meet m_ttft.

    bool operator==(const Objective &) const = default;
};

enum class OperatorRole {
    Read,
    Change,
};

/// A person or program that may query or change the intent.
struct Operator {
    std::string m_name;
    std::string m_keyHash; ///< SHA-256 in hex of the bearer key, see hashKey().
    OperatorRole m_role = OperatorRole::Read;

    bool operator==(const Operator &) const = default;
};

struct Intent {
    uint64_t m_revision = 0;
    std::vector<Region> m_regions;
    std::vector<DataCentre> m_dataCentres;
    std::vector<Model> m_models;
    std::vector<Service> m_services;
    std::vector<Endpoint> m_endpoints;
    std::vector<Customer> m_customers;
    std::vector<Objective> m_objectives;
    std::vector<Operator> m_operators;
    /// Max concurrent loads from the weight store, per data centre.
    uint32_t m_weightLoadsAtOnce = 2;

    bool operator==(const Intent &) const = default;
};

/// SHA-256 of a bearer key in lower-case hex, as stored in the intent.
std::string hashKey(std::string_view key);

} // namespace stackquay
