#include "control/statement.h"

#include <array>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace stackquay {

namespace {

struct KindName {
    EntityKind m_kind;
    std::string_view m_name;
    std::string_view m_list;
};

constexpr std::array KindNames{
    KindName{ EntityKind::Region, "region", "regions" },
    KindName{ EntityKind::DataCentre, "data_centre", "data_centres" },
    KindName{ EntityKind::Model, "model", "models" },
    KindName{ EntityKind::Service, "service", "services" },
    KindName{ EntityKind::Endpoint, "endpoint", "endpoints" },
    KindName{ EntityKind::Customer, "customer", "customers" },
    KindName{ EntityKind::Objective, "objective", "objectives" },
    KindName{ EntityKind::Operator, "operator", "operators" },
    KindName{ EntityKind::Intent, "intent", "" },
};

} // namespace

std::string_view entityKindName(EntityKind kind)
{
    return KindNames[static_cast<size_t>(kind)].m_name;
}

std::string_view entityListName(EntityKind kind)
{
    return KindNames[static_cast<size_t>(kind)].m_list;
}

Result<EntityKind> entityKindFromName(std::string_view name)
{
    std::vector<std::string_view> allowed;
    for (const KindName &entry : KindNames) {
        if (entry.m_name == name)
            return entry.m_kind;
        allowed.push_back(entry.m_name);
    }
    return makeError(ErrorCode::InvalidArgument, fmt::format("found \"{}\", allowed a kind: {}",
                                                             name, fmt::join(allowed, ", ")));
}

std::string toString(const EntityRef &entity)
{
    if (entity.m_kind == EntityKind::Intent)
        return "intent";
    return fmt::format("{} {}", entityKindName(entity.m_kind), entity.m_name);
}

std::string toString(const FieldPath &path)
{
    return fmt::format("{}", fmt::join(path, "."));
}

const EntityRef &entityOf(const Change &change)
{
    return std::visit([](const auto &action) -> const EntityRef & { return action.m_entity; },
                      change.m_action);
}

bool changesIntent(const Statement &statement)
{
    return std::holds_alternative<ChangeStatement>(statement.m_body)
           || std::holds_alternative<UndoStatement>(statement.m_body);
}

} // namespace stackquay
