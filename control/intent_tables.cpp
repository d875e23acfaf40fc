#include "control/intent_tables.h"

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr EntityKind LastListed = EntityKind::Operator;

/// An intent with one entity of each kind, all fields at their defaults.
const IntentJson &blankIntent()
{
    static const IntentJson blank = [] {
        Intent intent;
        intent.m_regions.resize(1);
        intent.m_dataCentres.resize(1);
        intent.m_models.resize(1);
        intent.m_services.resize(1);
        intent.m_endpoints.resize(1);
        intent.m_customers.resize(1);
        intent.m_objectives.resize(1);
        intent.m_operators.resize(1);
        return intentToJson(intent);
    }();
    return blank;
}

CellType typeOf(const IntentJson &value)
{
    if (value.is_number())
        return CellType::Number;
    if (value.is_boolean())
        return CellType::Boolean;
    return value.is_array() ? CellType::List : CellType::Text;
}

Table adapterTable(const Intent &intent)
{
    Table table{ "adapters", { { "model" }, { "name" }, { "version" } }, {} };
    for (const Model &model : intent.m_models) {
        for (const std::string &adapter : model.m_adapters)
            table.m_rows.push_back({ model.m_id.str(), adapter, model.m_version });
    }
    return table;
}

} // namespace

IntentJson blankEntity(EntityKind kind)
{
    if (kind == EntityKind::Intent)
        return blankIntent();
    return blankIntent().at(std::string(entityListName(kind))).front();
}

IntentJson *findEntity(IntentJson &intent, const EntityRef &entity)
{
    if (entity.m_kind == EntityKind::Intent)
        return &intent;
    for (IntentJson &candidate : intent[std::string(entityListName(entity.m_kind))]) {
        if (candidate["name"] == entity.m_name)
            return &candidate;
    }
    return nullptr;
}

Table entityTable(const Intent &intent, EntityKind kind)
{
    Table table{ std::string(entityListName(kind)), {}, {} };
    const IntentJson blank = blankEntity(kind);
    for (const auto &[name, value] : blank.items())
        table.m_columns.push_back({ name, typeOf(value) });
    const IntentJson whole = intentToJson(intent);
    for (const IntentJson &entity : whole.at(table.m_name)) {
        Row &row = table.m_rows.emplace_back();
        for (const IntentJson &value : entity)
            row.push_back(cellFromJson(value));
    }
    return table;
}

std::vector<std::string> intentTableNames()
{
    std::vector<std::string> names{ "adapters" };
    for (int kind = 0; kind <= static_cast<int>(LastListed); ++kind)
        names.emplace_back(entityListName(static_cast<EntityKind>(kind)));
    return names;
}

Result<Table> intentTable(const Intent &intent, const std::string &name)
{
    if (name == "adapters")
        return adapterTable(intent);
    for (int kind = 0; kind <= static_cast<int>(LastListed); ++kind) {
        if (entityListName(static_cast<EntityKind>(kind)) == name)
            return entityTable(intent, static_cast<EntityKind>(kind));
    }
    return makeError(ErrorCode::NotFound, fmt::format("found no table \"{}\"", name));
}

} // namespace stackquay
