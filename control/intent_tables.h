/// Tables over the declared intent, and access to its entities by kind and name.
#pragma once

#include "control/table.h"

namespace stackquay {

/// An entity of the kind with every field at its default, as JSON.
IntentJson blankEntity(EntityKind kind);

/// The entity in an intent's JSON, or null. The whole for EntityKind::Intent.
IntentJson *findEntity(IntentJson &intent, const EntityRef &entity);

/// All entities of a kind, one column a field.
Table entityTable(const Intent &intent, EntityKind kind);

/// Names of the tables that the intent alone can answer, such as "models" and "adapters".
std::vector<std::string> intentTableNames();

/// The table of that name, or NotFound.
Result<Table> intentTable(const Intent &intent, const std::string &name);

} // namespace stackquay
