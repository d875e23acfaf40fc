/// Statements of the operators' language, parsed. docs/LANGUAGE.md is its grammar.
#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "policy/policy.h"

namespace stackquay {

/// Kinds of things that changes name; Intent is the whole, for its own fields.
enum class EntityKind {
    Region,
    DataCentre,
    Model,
    Service,
    Endpoint,
    Customer,
    Objective,
    Operator,
    Intent,
};

/// "data_centre", as in statements.
std::string_view entityKindName(EntityKind kind);
/// InvalidArgument names the kinds there are.
Result<EntityKind> entityKindFromName(std::string_view name);
/// "data_centres", the list of the kind in the intent's JSON; empty for Intent.
std::string_view entityListName(EntityKind kind);

struct EntityRef {
    EntityKind m_kind = EntityKind::Intent;
    std::string m_name;
};

/// "model hint-forge".
std::string toString(const EntityRef &entity);

/// A value as written.
struct Literal {
    IntentJson m_value;
    std::string m_bare; ///< Its text if it stood without quotes, so that 7.10 can name a version.
};

/// "replicas.dundee-hall" in its parts.
using FieldPath = std::vector<std::string>;

std::string toString(const FieldPath &path);

struct Assignment {
    FieldPath m_field;
    Literal m_value;
};

enum class Comparison {
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Contains, ///< Part of a text, any case.
    In, ///< One of several values.
};

/// Has to hold when the change takes effect; "revision" is that of the intent.
struct Condition {
    FieldPath m_field;
    Comparison m_comparison = Comparison::Equal;
    Literal m_value;
};

struct SetChange {
    EntityRef m_entity;
    std::vector<Assignment> m_assignments;
};

struct AddChange {
    EntityRef m_entity;
    std::vector<Assignment> m_assignments;
};

struct RemoveChange {
    EntityRef m_entity;
};

using ChangeAction = std::variant<SetChange, AddChange, RemoveChange>;

/// One change to one entity. Drain, undrain and promote are parsed into SetChange.
struct Change {
    std::string m_text;
    ChangeAction m_action;
    std::vector<Condition> m_conditions;
};

const EntityRef &entityOf(const Change &change);

/// One change, or several as one.
struct ChangeStatement {
    std::vector<Change> m_changes;
    bool m_dryRun = false;
};

/// Takes back what led to a revision, as a new change.
struct UndoStatement {
    uint64_t m_revision = 0;
    std::vector<Condition> m_conditions;
    bool m_dryRun = false;
};

/// What has to hold for a row to be shown.
struct Expression {
    enum class Kind {
        And,
        Or,
        Not,
        Compare,
    };

    Kind m_kind = Kind::Compare;
    std::vector<Expression> m_operands; ///< For And, Or and Not.
    std::string m_column; ///< For Compare.
    Comparison m_comparison = Comparison::Equal;
    std::vector<Literal> m_values; ///< One; several for In.
};

struct OrderBy {
    std::string m_column;
    bool m_descending = false;
};

struct ShowStatement {
    std::string m_table;
    std::vector<std::string> m_columns; ///< Empty: all.
    std::optional<Expression> m_where;
    std::vector<OrderBy> m_orderBy;
    std::optional<uint64_t> m_limit;
};

enum class WhySubject {
    Request,
    Endpoint,
    Model,
};

struct WhyStatement {
    WhySubject m_subject = WhySubject::Request;
    std::string m_name;
    DataCentreId m_dataCentre; ///< For a model.
};

struct HistoryStatement {
    std::optional<uint64_t> m_limit;
};

using StatementBody =
    std::variant<ShowStatement, WhyStatement, HistoryStatement, ChangeStatement, UndoStatement>;

struct Statement {
    std::string m_text; ///< As written.
    StatementBody m_body;
};

/// Whether it needs an operator who may change the intent.
bool changesIntent(const Statement &statement);

} // namespace stackquay
