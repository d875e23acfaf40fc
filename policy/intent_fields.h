/// Names of the intent's fields, defined once for the JSON codec and the operators' language.
///
/// Internal to the policy library. visitFields(object, visit) calls visit(name, member) for each
/// field, in the order in which fields are printed. The object may be const.
#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "policy/intent.h"

namespace stackquay {

template<typename Enum>
struct EnumName {
    Enum m_value;
    std::string_view m_name;
};

inline constexpr std::array ObjectiveNames{
    EnumName<RoutingObjective>{ RoutingObjective::ShortSlowdown, "short_slowdown" },
    EnumName<RoutingObjective>{ RoutingObjective::TtftByLength, "ttft_by_length" },
};
inline constexpr std::array EndpointKindNames{
    EnumName<EndpointKind>{ EndpointKind::Engine, "engine" },
    EnumName<EndpointKind>{ EndpointKind::Service, "service" },
};
inline constexpr std::array OperatorRoleNames{
    EnumName<OperatorRole>{ OperatorRole::Read, "read" },
    EnumName<OperatorRole>{ OperatorRole::Change, "change" },
};

inline constexpr std::array LengthClassNames{
    EnumName<LengthClass>{ LengthClass::Short, "short" },
    EnumName<LengthClass>{ LengthClass::Medium, "medium" },
    EnumName<LengthClass>{ LengthClass::Long, "long" },
    EnumName<LengthClass>{ LengthClass::VeryLong, "very-long" },
};

constexpr const auto &enumNames(LengthClass)
{
    return LengthClassNames;
}
constexpr const auto &enumNames(RoutingObjective)
{
    return ObjectiveNames;
}
constexpr const auto &enumNames(EndpointKind)
{
    return EndpointKindNames;
}
constexpr const auto &enumNames(OperatorRole)
{
    return OperatorRoleNames;
}

template<typename Struct, typename Object>
concept ConstOrNot = std::is_same_v<std::remove_const_t<Struct>, Object>;

template<ConstOrNot<Region> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_id);
}

template<ConstOrNot<DataCentre> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_id);
    visit("region", object.m_region);
    visit("relays", object.m_relays);
}

template<ConstOrNot<ReplicaCount> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("data_centre", object.m_dataCentre);
    visit("count", object.m_count);
}

template<ConstOrNot<Model> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_id);
    visit("version", object.m_version);
    visit("versions", object.m_versions);
    visit("adapters", object.m_adapters);
    visit("bytes_per_token", object.m_bytesPerToken);
    visit("max_tokens", object.m_maxTokens);
    visit("max_span", object.m_maxSpan);
    visit("objective", object.m_objective);
    visit("replicas", object.m_replicas);
}

template<ConstOrNot<Service> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_id);
    visit("repeatable", object.m_repeatable);
    visit("retention_hours", object.m_retention);
}

template<ConstOrNot<Endpoint> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_id);
    visit("kind", object.m_kind);
    visit("address", object.m_address);
    visit("data_centre", object.m_dataCentre);
    visit("models", object.m_models);
    visit("service", object.m_service);
    visit("checks_fencing", object.m_checksFencing);
    visit("draining", object.m_draining);
}

template<ConstOrNot<Guarantee> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("data_centre", object.m_dataCentre);
    visit("tokens_per_second", object.m_tokensPerSecond);
    visit("concurrency", object.m_concurrency);
}

template<ConstOrNot<Customer> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_id);
    visit("key_hashes", object.m_keyHashes);
    visit("tokens_per_second", object.m_tokensPerSecond);
    visit("concurrency", object.m_concurrency);
    visit("share", object.m_share);
    visit("priority", object.m_priority);
    visit("guarantees", object.m_guarantees);
}

template<ConstOrNot<Objective> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_name);
    visit("customer", object.m_customer);
    visit("model", object.m_model);
    visit("length_class", object.m_lengthClass);
    visit("ttft_ms", object.m_ttft);
    visit("target", object.m_target);
}

template<ConstOrNot<Operator> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("name", object.m_name);
    visit("key_hash", object.m_keyHash);
    visit("role", object.m_role);
}

template<ConstOrNot<Intent> Object, typename Visit>
void visitFields(Object &object, Visit &&visit)
{
    visit("revision", object.m_revision);
    visit("weight_loads_at_once", object.m_weightLoadsAtOnce);
    visit("regions", object.m_regions);
    visit("data_centres", object.m_dataCentres);
    visit("models", object.m_models);
    visit("services", object.m_services);
    visit("endpoints", object.m_endpoints);
    visit("customers", object.m_customers);
    visit("objectives", object.m_objectives);
    visit("operators", object.m_operators);
}

} // namespace stackquay
