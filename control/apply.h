/// Changes applied to an intent, as pure functions.
#pragma once

#include "control/statement.h"

namespace stackquay {

/// One field, or a whole entity, that differs between two intents.
struct Difference {
    std::string m_entity; ///< "model hint-forge" or "intent".
    std::string m_field; ///< Empty: the whole entity was added or removed.
    std::string m_before; ///< JSON; empty if added.
    std::string m_after; ///< JSON; empty if removed.

    bool operator==(const Difference &) const = default;
};

/// The intent after all changes, at the next revision, checked whole.
///
/// Errors name the statement, the field, what was found and what is allowed. Conflict: a condition
/// of a change does not hold.
Result<Intent> applyChanges(const Intent &intent, const ChangeStatement &statement);

/// The intent without the change that led from @p before to @p after; @p text is the statement, for
/// errors. Conflict: something that it changed has changed again since.
Result<Intent> applyUndo(const Intent &intent, const Intent &before, const Intent &after,
                         const UndoStatement &statement, const std::string &text);

/// What differs, entity by entity; the revision is left out.
std::vector<Difference> compareIntents(const Intent &before, const Intent &after);

/// One line a difference: "+ model x {...}", "- model x {...}", "~ model x, version: 1 -> 2".
std::string renderText(const std::vector<Difference> &differences);
IntentJson renderJson(const std::vector<Difference> &differences);

} // namespace stackquay
