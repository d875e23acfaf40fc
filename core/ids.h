/// Typed names and identifiers. Each kind is its own type, so that they cannot be mixed up.
#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

#include <msgpack.hpp>

namespace stackquay {

/// A string that names one kind of thing; Tag only tells the kinds apart.
template<typename Tag>
struct Id {
    std::string m_value;

    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    { }

    const std::string &str() const { return m_value; }
    bool empty() const { return m_value.empty(); }
    auto operator<=>(const Id &) const = default;

    MSGPACK_DEFINE(m_value)
};

using VmId = Id<struct VmTag>;
using EndpointId = Id<struct EndpointTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;
using CustomerId = Id<struct CustomerTag>;
using ModelId = Id<struct ModelTag>;
using ServiceId = Id<struct ServiceTag>;
using RequestId = Id<struct RequestTag>;
using PromptPartId = Id<struct PromptPartTag>;
/// Unguessable; the endpoint echoes it in every answer of the attempt.
using AttemptId = Id<struct AttemptTag>;
using GrantId = Id<struct GrantTag>;
using ChangeId = Id<struct ChangeTag>;
using OrderId = Id<struct OrderTag>;

} // namespace stackquay

template<typename Tag>
struct std::hash<stackquay::Id<Tag>> {
    size_t operator()(const stackquay::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.m_value);
    }
};
