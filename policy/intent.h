/// What operators declare: the whole configuration at one revision, as plain structs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/core.h"
#include "policy/length_class.h"

namespace stackquay {

/// What the choice of endpoint optimizes for.
enum class RoutingObjective {
    ShortSlowdown, ///< Keep short prompts unaffected by long ones.
    TtftByLength, ///< Keep the time to first token low over all lengths.
};

struct Region {
    RegionId m_id;

    bool operator==(const Region &) const = default;
};

struct DataCentre {
    DataCentreId m_id;
    RegionId m_region;
    /// "host:port" of relays that other data centres reach; may be empty.
    std::vector<std::string> m_relays;

    bool operator==(const DataCentre &) const = default;
};

/// How many replicas of a model a data centre has to serve.
struct ReplicaCount {
    DataCentreId m_dataCentre;
    uint32_t m_count = 0;

    bool operator==(const ReplicaCount &) const = default;
};

struct Model {
    ModelId m_id;
    std::string m_version; ///< The one that is to serve.
    std::vector<std::string> m_versions; ///< Those in the weight store; empty: any.
    std::vector<std::string> m_adapters;
    uint64_t m_bytesPerToken = 0; ///< KV cache bytes a token; 0 when not known.
    uint64_t m_maxTokens = 1'000'000; ///< Longest prompt and answer together.
    uint32_t m_maxSpan = 1; ///< Most engines that one prompt may be placed on.
    RoutingObjective m_objective = RoutingObjective::ShortSlowdown;
    std::vector<ReplicaCount> m_replicas;

    bool operator==(const Model &) const = default;
};

/// A plain service behind the entry VMs.
struct Service {
    ServiceId m_id;
    bool m_repeatable = true;
    /// How long outcomes of non-repeatable calls are kept.
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
    std::vector<ModelId> m_models; ///< Engines: models it may serve.
    std::optional<ServiceId> m_service; ///< Services: which one.
    bool m_checksFencing = false; ///< Refuses orders with an old fencing number.
    bool m_draining = false; ///< Gets no new work.

    bool operator==(const Endpoint &) const = default;
};

/// The part of a customer's limits that one data centre never lends away.
struct Guarantee {
    DataCentreId m_dataCentre;
    double m_tokensPerSecond = 0;
    uint32_t m_concurrency = 0;

    bool operator==(const Guarantee &) const = default;
};

struct Customer {
    CustomerId m_id;
    std::vector<std::string> m_keyHashes; ///< SHA-256, in hex, of each bearer key.
    double m_tokensPerSecond = 0; ///< 0: no limit.
    uint32_t m_concurrency = 0; ///< 0: no limit.
    double m_share = 1; ///< Weight of the fair share.
    int m_priority = 0; ///< Highest priority that its requests may ask for.
    std::vector<Guarantee> m_guarantees; ///< Their sums stay within the limits above.

    bool operator==(const Customer &) const = default;
};

/// A service-level objective for the burn report.
struct Objective {
    std::string m_name;
    std::optional<CustomerId> m_customer; ///< None: all customers.
    std::optional<ModelId> m_model; ///< None: all models.
    std::optional<LengthClass> m_lengthClass; ///< None: all.
    Millis m_ttft{ 1600 };
    double m_target = 0.95; ///< Fraction of requests that meet m_ttft.

    bool operator==(const Objective &) const = default;
};

enum class OperatorRole {
    Read,
    Change,
};

/// A person or program that may query or change the intent.
struct Operator {
    std::string m_name;
    std::string m_keyHash; ///< As Customer::m_keyHashes.
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
    uint32_t m_weightLoadsAtOnce = 2; ///< Loads from the weight store in flight, per data centre.

    bool operator==(const Intent &) const = default;
};

/// SHA-256, in hex, of a bearer key, as kept in the intent.
std::string hashKey(std::string_view key);

} // namespace stackquay
