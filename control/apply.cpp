#include "control/apply.h"

#include <algorithm>
#include <array>
#include <functional>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "control/intent_tables.h"

namespace stackquay {

namespace {

/// A list whose items are named by their data centre, and the field that a plain value sets.
struct KeyedList {
    std::string_view m_field;
    std::string_view m_plainField; ///< Empty: there is none.
};

constexpr std::array KeyedLists{
    KeyedList{ "replicas", "count" },
    KeyedList{ "guarantees", "" },
};
constexpr const char *ListKey = "data_centre";

const KeyedList *findKeyedList(const std::string &field)
{
    const auto found = std::find_if(KeyedLists.begin(), KeyedLists.end(),
                                    [&](const KeyedList &list) { return list.m_field == field; });
    return found == KeyedLists.end() ? nullptr : &*found;
}

tl::unexpected<Error> badField(const FieldPath &path, std::string_view found,
                               std::string_view allowed)
{
    return makeError(ErrorCode::InvalidArgument, fmt::format("column \"{}\": found {}, allowed {}",
                                                             toString(path), found, allowed));
}

std::string keysOf(const IntentJson &object)
{
    TextList keys;
    for (const auto &[key, value] : object.items())
        keys.push_back(key);
    return fmt::format("{}", fmt::join(keys, ", "));
}

/// A text field takes what stood without quotes as text.
IntentJson coerced(const IntentJson &present, const Literal &literal)
{
    const bool textField = present.is_string() || present.is_null();
    if (textField && !literal.m_bare.empty())
        return literal.m_bare;
    return literal.m_value;
}

IntentJson::iterator findItem(IntentJson &list, const std::string &dataCentre)
{
    return std::find_if(list.begin(), list.end(), [&](const IntentJson &item) {
        return item.value(ListKey, "") == dataCentre;
    });
}

/// Sets "replicas.DC", "guarantees.DC.FIELD"; none as the value of "replicas.DC" removes the item.
Status setKeyedField(IntentJson &list, const KeyedList &keyed, const Assignment &assignment)
{
    const FieldPath &path = assignment.m_field;
    const IntentJson &value = assignment.m_value.m_value;
    const auto item = findItem(list, path[1]);
    if (path.size() == 2 && value.is_null()) {
        if (item != list.end())
            list.erase(item);
        return {};
    }
    const bool plain = path.size() == 2 && !keyed.m_plainField.empty();
    if (!plain && path.size() != 3)
        return badField(path, value.dump(), fmt::format("{}.DATA_CENTRE.FIELD", path[0]));
    const std::string field(plain ? keyed.m_plainField : std::string_view(path[2]));
    if (item != list.end())
        (*item)[field] = value;
    else
        list.push_back({ { ListKey, path[1] }, { field, value } });
    return {};
}

Status setField(IntentJson &entity, const Assignment &assignment)
{
    const FieldPath &path = assignment.m_field;
    const auto field = entity.find(path[0]);
    if (field == entity.end())
        return badField(path, "no such field", keysOf(entity));
    if (path[0] == "name" || path[0] == "revision")
        return badField(path, "a change of it", "none, as it is fixed");
    if (path.size() == 1) {
        *field = coerced(*field, assignment.m_value);
        return {};
    }
    if (const KeyedList *keyed = findKeyedList(path[0]))
        return setKeyedField(*field, *keyed, assignment);
    return badField(path, "a part", "the whole field only");
}

IntentJson readField(IntentJson &entity, const FieldPath &path)
{
    IntentJson value = entity[path[0]];
    if (path.size() == 1)
        return value;
    const KeyedList *keyed = findKeyedList(path[0]);
    if (!keyed)
        return nullptr;
    const auto item = findItem(value, path[1]);
    if (item == value.end())
        return nullptr;
    const std::string field(path.size() == 2 ? keyed->m_plainField : std::string_view(path[2]));
    return item->value(field, IntentJson(nullptr));
}

CellType typeOfCell(const Cell &cell)
{
    if (std::holds_alternative<bool>(cell))
        return CellType::Boolean;
    if (std::holds_alternative<TextList>(cell))
        return CellType::List;
    const bool text =
        std::holds_alternative<std::string>(cell) || std::holds_alternative<std::monostate>(cell);
    return text ? CellType::Text : CellType::Number;
}

Status checkCondition(IntentJson &intent, IntentJson &entity, const Condition &condition)
{
    const FieldPath &path = condition.m_field;
    const bool revision = path == FieldPath{ "revision" };
    IntentJson &holder = revision ? intent : entity;
    if (!holder.contains(path[0]))
        return badField(path, "no such field", "revision, " + keysOf(entity));
    const IntentJson value = readField(holder, path);
    const bool wholeList = value.is_array() && condition.m_value.m_value.is_array();
    if (wholeList && condition.m_comparison == Comparison::Equal
        && value == condition.m_value.m_value)
        return {};
    const Cell cell = cellFromJson(value);
    const Result<bool> met =
        compareCell(cell, typeOfCell(cell), condition.m_comparison, { condition.m_value });
    if (!met)
        return badField(path, condition.m_value.m_value.dump(), met.error().m_message);
    if (*met)
        return {};
    return makeError(ErrorCode::Conflict, fmt::format("condition on \"{}\" does not hold: found {}",
                                                      toString(path), value.dump()));
}

/// Applies one change to an intent's JSON.
class Applier
{
public:
    explicit Applier(IntentJson &intent)
        : m_intent(intent)
    { }

    Status apply(const Change &change)
    {
        if (const Status checked = checkConditions(change); !checked)
            return checked;
        return std::visit([this](const auto &action) { return run(action); }, change.m_action);
    }

private:
    Status checkConditions(const Change &change)
    {
        IntentJson *entity = findEntity(m_intent, entityOf(change));
        IntentJson blank = blankEntity(entityOf(change).m_kind);
        for (const Condition &condition : change.m_conditions) {
            const Status checked = checkCondition(m_intent, entity ? *entity : blank, condition);
            if (!checked)
                return checked;
        }
        return {};
    }

    Result<IntentJson *> existing(const EntityRef &ref)
    {
        if (IntentJson *entity = findEntity(m_intent, ref))
            return entity;
        return makeError(ErrorCode::NotFound, fmt::format("found no {}", toString(ref)));
    }

    Status run(const SetChange &change)
    {
        const Result<IntentJson *> entity = existing(change.m_entity);
        if (!entity)
            return tl::unexpected(entity.error());
        return assign(**entity, change.m_assignments);
    }

    Status run(const AddChange &change)
    {
        if (findEntity(m_intent, change.m_entity))
            return makeError(ErrorCode::AlreadyExists,
                             fmt::format("found {} already declared", toString(change.m_entity)));
        IntentJson entity = blankEntity(change.m_entity.m_kind);
        entity["name"] = change.m_entity.m_name;
        const Status assigned = assign(entity, change.m_assignments);
        if (assigned)
            m_intent[std::string(entityListName(change.m_entity.m_kind))].push_back(entity);
        return assigned;
    }

    Status run(const RemoveChange &change)
    {
        const Result<IntentJson *> entity = existing(change.m_entity);
        if (!entity)
            return tl::unexpected(entity.error());
        IntentJson &list = m_intent[std::string(entityListName(change.m_entity.m_kind))];
        list.erase(list.begin() + (*entity - &list.front()));
        return {};
    }

    static Status assign(IntentJson &entity, const std::vector<Assignment> &assignments)
    {
        for (const Assignment &assignment : assignments) {
            if (const Status done = setField(entity, assignment); !done)
                return done;
        }
        return {};
    }

    IntentJson &m_intent;
};

Error inStatement(const std::string &statement, const Error &error)
{
    return { error.m_code, fmt::format("In \"{}\": {}.", statement, error.m_message) };
}

/// The change that names the problem's entity, else the last.
const std::string &culprit(const ChangeStatement &statement, const IntentProblem &problem)
{
    for (const Change &change : statement.m_changes) {
        if (toString(entityOf(change)) == problem.m_entity)
            return change.m_text;
    }
    return statement.m_changes.back().m_text;
}

std::vector<std::string> explain(const std::vector<IntentProblem> &problems,
                                 const std::function<std::string(const IntentProblem &)> &culpritOf)
{
    std::vector<std::string> lines;
    for (const IntentProblem &problem : problems)
        lines.push_back(fmt::format("In \"{}\": {}", culpritOf(problem), toString(problem)));
    return lines;
}

Result<Intent> checked(Intent intent, uint64_t revision,
                       const std::function<std::string(const IntentProblem &)> &culpritOf)
{
    intent.m_revision = revision;
    const std::vector<IntentProblem> problems = checkIntent(intent);
    if (problems.empty())
        return intent;
    return makeError(ErrorCode::InvalidArgument,
                     fmt::format("{}", fmt::join(explain(problems, culpritOf), "\n")));
}

/// Calls visit(entity reference) for each entity of either intent, each once, in a stable order.
template<typename Visit>
void forEachEntity(const IntentJson &left, const IntentJson &right, Visit &&visit)
{
    visit(EntityRef{ EntityKind::Intent, "" });
    for (int kind = 0; kind < static_cast<int>(EntityKind::Intent); ++kind) {
        const std::string list(entityListName(static_cast<EntityKind>(kind)));
        TextList names;
        for (const IntentJson *side : { &left, &right }) {
            for (const IntentJson &entity : side->at(list)) {
                const std::string name = entity.at("name");
                if (std::find(names.begin(), names.end(), name) == names.end())
                    names.push_back(name);
            }
        }
        for (const std::string &name : names)
            visit(EntityRef{ static_cast<EntityKind>(kind), name });
    }
}

bool isComparedField(const EntityRef &entity, const std::string &field, const IntentJson &value)
{
    if (entity.m_kind != EntityKind::Intent)
        return true;
    return field != "revision" && !value.is_array();
}

/// Takes the changes of one entity back, if it still is as they left it.
Status undoEntity(IntentJson &current, IntentJson &before, IntentJson &after, const EntityRef &ref)
{
    IntentJson *was = findEntity(before, ref);
    IntentJson *became = findEntity(after, ref);
    IntentJson *is = findEntity(current, ref);
    if (was && became && *was == *became)
        return {};
    const auto conflict = [&](const std::string &what) {
        return makeError(ErrorCode::Conflict,
                         fmt::format("found {} {} since", toString(ref), what));
    };
    const std::string list(entityListName(ref.m_kind));
    if (!became) {
        if (is)
            return conflict("declared again");
        current[list].push_back(*was);
        return {};
    }
    if (!is)
        return conflict("removed");
    if (!was) {
        if (*is != *became)
            return conflict("changed");
        current[list].erase(current[list].begin() + (is - &current[list].front()));
        return {};
    }
    for (const auto &[field, value] : became->items()) {
        if (!isComparedField(ref, field, value) || (*was)[field] == value)
            continue;
        if ((*is)[field] != value)
            return conflict(fmt::format("changed in \"{}\"", field));
        (*is)[field] = (*was)[field];
    }
    return {};
}

} // namespace

Result<Intent> applyChanges(const Intent &intent, const ChangeStatement &statement)
{
    IntentJson json = intentToJson(intent);
    Applier applier(json);
    for (const Change &change : statement.m_changes) {
        if (const Status done = applier.apply(change); !done)
            return tl::unexpected(inStatement(change.m_text, done.error()));
        if (const Result<Intent> decoded = intentFromJson(json); !decoded)
            return tl::unexpected(inStatement(change.m_text, decoded.error()));
    }
    return checked(*intentFromJson(json), intent.m_revision + 1,
                   [&](const IntentProblem &problem) { return culprit(statement, problem); });
}

Result<Intent> applyUndo(const Intent &intent, const Intent &before, const Intent &after,
                         const UndoStatement &statement, const std::string &text)
{
    IntentJson current = intentToJson(intent);
    IntentJson from = intentToJson(before);
    IntentJson to = intentToJson(after);
    for (const Condition &condition : statement.m_conditions) {
        if (const Status met = checkCondition(current, current, condition); !met)
            return tl::unexpected(inStatement(text, met.error()));
    }
    Status done;
    forEachEntity(from, to, [&](const EntityRef &ref) {
        if (done)
            done = undoEntity(current, from, to, ref);
    });
    if (!done)
        return tl::unexpected(inStatement(text, done.error()));
    const Result<Intent> decoded = intentFromJson(current);
    if (!decoded)
        return tl::unexpected(inStatement(text, decoded.error()));
    return checked(*decoded, intent.m_revision + 1, [&](const IntentProblem &) { return text; });
}

std::vector<Difference> compareIntents(const Intent &before, const Intent &after)
{
    IntentJson from = intentToJson(before);
    IntentJson to = intentToJson(after);
    std::vector<Difference> differences;
    forEachEntity(from, to, [&](const EntityRef &ref) {
        const IntentJson *was = findEntity(from, ref);
        const IntentJson *is = findEntity(to, ref);
        if (!was || !is) {
            differences.push_back(
                { toString(ref), "", was ? was->dump() : "", is ? is->dump() : "" });
            return;
        }
        for (const auto &[field, value] : is->items()) {
            if (isComparedField(ref, field, value) && was->at(field) != value)
                differences.push_back(
                    { toString(ref), field, was->at(field).dump(), value.dump() });
        }
    });
    return differences;
}

std::string renderText(const std::vector<Difference> &differences)
{
    std::string text;
    for (const Difference &difference : differences) {
        if (!difference.m_field.empty())
            text += fmt::format("~ {}, {}: {} -> {}\n", difference.m_entity, difference.m_field,
                                difference.m_before, difference.m_after);
        else if (difference.m_before.empty())
            text += fmt::format("+ {} {}\n", difference.m_entity, difference.m_after);
        else
            text += fmt::format("- {} {}\n", difference.m_entity, difference.m_before);
    }
    return text.empty() ? "no difference\n" : text;
}

IntentJson renderJson(const std::vector<Difference> &differences)
{
    IntentJson list = IntentJson::array();
    for (const Difference &difference : differences) {
        list.push_back({ { "entity", difference.m_entity },
                         { "field", difference.m_field },
                         { "before", difference.m_before },
                         { "after", difference.m_after } });
    }
    return list;
}

} // namespace stackquay
