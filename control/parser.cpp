#include "control/parser.h"

#include <charconv>
#include <cmath>

#include <fmt/format.h>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "control/grammar.h"
#include "core/json_fields.h"

namespace stackquay {

namespace {

namespace pegtl = tao::pegtl;
using Node = pegtl::parse_tree::node;

constexpr size_t ShownCharacters = 30; ///< Longest piece of the text in an error.
constexpr double ExactWholeNumber = 1ll << 53; ///< Doubles up to it hold each whole number.

/// What is allowed where a rule has to match.
struct Allowed {
    template<typename Rule>
    // NOLINTNEXTLINE(readability-identifier-naming): the name that PEGTL asks for.
    static constexpr const char *message = nullptr;
};

#define ALLOW(rule, text)                                                                          \
    template<>                                                                                     \
    constexpr const char *Allowed::message<grammar::rule> = text

ALLOW(ExpectedValue,
      "a value: a number, true, false, none, a word, \"text\", [list] or {key: value}");
ALLOW(ExpectedListEnd, "a value, ',' or ']'");
ALLOW(ExpectedColon, "':'");
ALLOW(ExpectedObjectEnd, "a key, ',' or '}'");
ALLOW(ExpectedName, "a name of letters, digits, '.', '_' and '-'");
ALLOW(ExpectedWholeNumber, "a whole number");
ALLOW(ExpectedField, "a field's name");
ALLOW(ExpectedColumn, "a column's name");
ALLOW(ExpectedOperator, "one of = != < <= > >= ~ (and 'in' after 'where')");
ALLOW(ExpectedListStart, "'('");
ALLOW(ExpectedBracketEnd, "',' or ')'");
ALLOW(ExpectedTable, "a table's name");
ALLOW(ExpectedBy, "'by'");
ALLOW(ExpectedIn, "'in' and a data centre");
ALLOW(ExpectedSubject, "'request ID', 'endpoint NAME' or 'model NAME in DATA_CENTRE'");
ALLOW(ExpectedKind, "a kind, such as model or endpoint");
ALLOW(ExpectedEquals, "'='");
ALLOW(ExpectedEndpointWord, "'endpoint'");
ALLOW(ExpectedModelWord, "'model'");
ALLOW(ExpectedVersionWord, "'version'");
ALLOW(ExpectedChange, "set, add, remove, drain, undrain, promote or commit");
ALLOW(ExpectedSemicolon, "';'");
ALLOW(ExpectedChecked, "set, add, remove, drain, undrain, promote, undo or begin");
ALLOW(ExpectedStatement,
      "show, why, history, check, undo, set, add, remove, drain, undrain, promote or begin");
ALLOW(ExpectedEnd, "the end or ';'");
#undef ALLOW

template<typename Rule>
using Control = pegtl::must_if<Allowed, pegtl::normal, false>::control<Rule>;

template<typename Rule>
using Selector = pegtl::parse_tree::selector<
    Rule,
    pegtl::parse_tree::store_content::on<
        grammar::True, grammar::False, grammar::None, grammar::Number, grammar::Word,
        grammar::DoubleQuoted, grammar::SingleQuoted, grammar::List, grammar::Object,
        grammar::Member, grammar::Key, grammar::Name, grammar::WholeNumber, grammar::Segment,
        grammar::Field, grammar::Column, grammar::Operator, grammar::Condition, grammar::Conditions,
        grammar::InValues, grammar::Comparison, grammar::Bracketed, grammar::Negation,
        grammar::AllOf, grammar::AnyOf, grammar::Table, grammar::Columns, grammar::WhereClause,
        grammar::Descending, grammar::OrderItem, grammar::OrderClause, grammar::LimitClause,
        grammar::ShowStatement, grammar::WhyRequest, grammar::WhyEndpoint, grammar::WhyModel,
        grammar::WhyStatement, grammar::HistoryStatement, grammar::Kind, grammar::WholeIntent,
        grammar::Entity, grammar::Assignment, grammar::Assignments, grammar::SetChange,
        grammar::AddChange, grammar::RemoveChange, grammar::DrainChange, grammar::UndrainChange,
        grammar::PromoteChange, grammar::Change, grammar::Block, grammar::UndoStatement,
        grammar::CheckStatement, grammar::Statement>>;

std::string trimmed(std::string_view text)
{
    const size_t last = text.find_last_not_of(" \t\r\n");
    return std::string(text.substr(0, last == text.npos ? 0 : last + 1));
}

std::string textOf(const Node &node)
{
    return trimmed(node.string_view());
}

/// The first child made by @p Rule, or null.
template<typename Rule>
const Node *findChild(const Node &node)
{
    for (const auto &child : node.children) {
        if (child->is_type<Rule>())
            return child.get();
    }
    return nullptr;
}

template<typename Rule>
std::vector<const Node *> childrenOf(const Node &node)
{
    std::vector<const Node *> found;
    for (const auto &child : node.children) {
        if (child->is_type<Rule>())
            found.push_back(child.get());
    }
    return found;
}

Result<uint64_t> toWholeNumber(const Node &node)
{
    const std::string text = textOf(node);
    uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("found {}, allowed a whole number of 64 bits", text));
    return value;
}

IntentJson jsonOf(const std::string &text)
{
    return parseJson<IntentJson>(text).value_or(IntentJson::value_t::discarded);
}

/// A whole number stays one however it was written, such as 1e6.
IntentJson toNumber(std::string text)
{
    if (text.front() == '+')
        text.erase(0, 1);
    const IntentJson number = jsonOf(text);
    if (number.is_discarded())
        return text;
    const double value = number.get<double>();
    const bool whole = number.is_number_float() && std::abs(value) <= ExactWholeNumber
                       && std::trunc(value) == value;
    return whole ? IntentJson(static_cast<int64_t>(value)) : number;
}

IntentJson toJson(const Node &value);

IntentJson toJsonList(const Node &list)
{
    IntentJson json = IntentJson::array();
    for (const auto &child : list.children)
        json.push_back(toJson(*child));
    return json;
}

IntentJson toJsonObject(const Node &object)
{
    IntentJson json = IntentJson::object();
    for (const auto &member : object.children)
        json[textOf(*member->children[0])] = toJson(*member->children[1]);
    return json;
}

IntentJson toJson(const Node &value)
{
    const std::string text = textOf(value);
    if (value.is_type<grammar::True>())
        return true;
    if (value.is_type<grammar::False>())
        return false;
    if (value.is_type<grammar::None>())
        return nullptr;
    if (value.is_type<grammar::Number>())
        return toNumber(text);
    if (value.is_type<grammar::List>())
        return toJsonList(value);
    if (value.is_type<grammar::Object>())
        return toJsonObject(value);
    if (value.is_type<grammar::SingleQuoted>())
        return text.substr(1, text.size() - 2);
    if (value.is_type<grammar::DoubleQuoted>()) {
        const IntentJson decoded = jsonOf(text);
        return decoded.is_discarded() ? IntentJson(text.substr(1, text.size() - 2)) : decoded;
    }
    return text;
}

Literal toLiteral(const Node &value)
{
    const bool bare = value.is_type<grammar::Number>() || value.is_type<grammar::Word>()
                      || value.is_type<grammar::True>() || value.is_type<grammar::False>();
    return { toJson(value), bare ? textOf(value) : "" };
}

FieldPath toPath(const Node &field)
{
    FieldPath path;
    for (const auto &segment : field.children)
        path.push_back(textOf(*segment));
    return path;
}

Comparison toComparison(const Node &node)
{
    const std::string text = textOf(node);
    if (text == "=")
        return Comparison::Equal;
    if (text == "!=")
        return Comparison::NotEqual;
    if (text == "<")
        return Comparison::Less;
    if (text == "<=")
        return Comparison::LessOrEqual;
    if (text == ">")
        return Comparison::Greater;
    if (text == ">=")
        return Comparison::GreaterOrEqual;
    return Comparison::Contains;
}

std::vector<Condition> toConditions(const Node &parent)
{
    std::vector<Condition> conditions;
    const Node *node = findChild<grammar::Conditions>(parent);
    if (!node)
        return conditions;
    for (const auto &child : node->children) {
        conditions.push_back({ toPath(*child->children[0]), toComparison(*child->children[1]),
                               toLiteral(*child->children[2]) });
    }
    return conditions;
}

Expression toExpression(const Node &node);

Expression toGroup(const Node &node, Expression::Kind kind)
{
    if (node.children.size() == 1 && kind != Expression::Kind::Not)
        return toExpression(*node.children[0]);
    Expression expression;
    expression.m_kind = kind;
    for (const auto &child : node.children)
        expression.m_operands.push_back(toExpression(*child));
    return expression;
}

Expression toComparisonExpression(const Node &node)
{
    Expression expression;
    expression.m_column = textOf(*node.children[0]);
    const Node &second = *node.children[1];
    if (second.is_type<grammar::InValues>()) {
        expression.m_comparison = Comparison::In;
        for (const auto &value : second.children)
            expression.m_values.push_back(toLiteral(*value));
        return expression;
    }
    expression.m_comparison = toComparison(second);
    expression.m_values.push_back(toLiteral(*node.children[2]));
    return expression;
}

Expression toExpression(const Node &node)
{
    if (node.is_type<grammar::AnyOf>())
        return toGroup(node, Expression::Kind::Or);
    if (node.is_type<grammar::AllOf>())
        return toGroup(node, Expression::Kind::And);
    if (node.is_type<grammar::Negation>())
        return toGroup(node, Expression::Kind::Not);
    if (node.is_type<grammar::Bracketed>())
        return toExpression(*node.children[0]);
    return toComparisonExpression(node);
}

Result<StatementBody> toShow(const Node &node)
{
    ShowStatement show;
    show.m_table = textOf(*findChild<grammar::Table>(node));
    if (const Node *columns = findChild<grammar::Columns>(node)) {
        for (const auto &column : columns->children)
            show.m_columns.push_back(textOf(*column));
    }
    if (const Node *where = findChild<grammar::WhereClause>(node))
        show.m_where = toExpression(*where->children[0]);
    if (const Node *order = findChild<grammar::OrderClause>(node)) {
        for (const auto &item : order->children)
            show.m_orderBy.push_back({ textOf(*item->children[0]), item->children.size() > 1 });
    }
    if (const Node *limit = findChild<grammar::LimitClause>(node)) {
        const Result<uint64_t> number = toWholeNumber(*limit->children[0]);
        if (!number)
            return tl::unexpected(number.error());
        show.m_limit = *number;
    }
    return show;
}

Result<StatementBody> toWhy(const Node &node)
{
    const Node &subject = *node.children[0];
    WhyStatement why;
    why.m_name = textOf(*subject.children[0]);
    if (subject.is_type<grammar::WhyEndpoint>())
        why.m_subject = WhySubject::Endpoint;
    if (subject.is_type<grammar::WhyModel>()) {
        why.m_subject = WhySubject::Model;
        why.m_dataCentre = DataCentreId(textOf(*subject.children[1]));
    }
    return why;
}

Result<StatementBody> toHistory(const Node &node)
{
    HistoryStatement history;
    if (node.children.empty())
        return history;
    const Result<uint64_t> limit = toWholeNumber(*node.children[0]);
    if (!limit)
        return tl::unexpected(limit.error());
    history.m_limit = *limit;
    return history;
}

Result<EntityRef> toEntity(const Node &node)
{
    if (findChild<grammar::WholeIntent>(node))
        return EntityRef{ EntityKind::Intent, "" };
    const Result<EntityKind> kind = entityKindFromName(textOf(*node.children[0]));
    if (!kind)
        return tl::unexpected(kind.error());
    return EntityRef{ *kind, textOf(*node.children[1]) };
}

std::vector<Assignment> toAssignments(const Node &node)
{
    std::vector<Assignment> assignments;
    if (const Node *list = findChild<grammar::Assignments>(node)) {
        for (const auto &child : list->children)
            assignments.push_back({ toPath(*child->children[0]), toLiteral(*child->children[1]) });
    }
    return assignments;
}

SetChange toDrain(const Node &node, bool draining)
{
    return { { EntityKind::Endpoint, textOf(*node.children[0]) },
             { { { "draining" }, { draining, "" } } } };
}

SetChange toPromote(const Node &node)
{
    return { { EntityKind::Model, textOf(*node.children[0]) },
             { { { "version" }, { textOf(*node.children[1]), "" } } } };
}

Result<ChangeAction> toAction(const Node &node)
{
    if (node.is_type<grammar::DrainChange>())
        return toDrain(node, true);
    if (node.is_type<grammar::UndrainChange>())
        return toDrain(node, false);
    if (node.is_type<grammar::PromoteChange>())
        return toPromote(node);
    Result<EntityRef> entity = toEntity(*node.children[0]);
    if (!entity)
        return tl::unexpected(entity.error());
    if (node.is_type<grammar::SetChange>())
        return SetChange{ std::move(*entity), toAssignments(node) };
    if (entity->m_kind == EntityKind::Intent)
        return makeError(ErrorCode::InvalidArgument, "found \"intent\", which can only be set");
    if (node.is_type<grammar::AddChange>())
        return AddChange{ std::move(*entity), toAssignments(node) };
    return RemoveChange{ std::move(*entity) };
}

Result<Change> toChange(const Node &node)
{
    Result<ChangeAction> action = toAction(*node.children[0]);
    if (!action)
        return makeError(action.error().m_code,
                         fmt::format("In \"{}\": {}.", textOf(node), action.error().m_message));
    return Change{ textOf(node), std::move(*action), toConditions(node) };
}

Result<StatementBody> toChanges(const Node &node)
{
    ChangeStatement statement;
    const auto changes = node.is_type<grammar::Block>() ? childrenOf<grammar::Change>(node)
                                                        : std::vector<const Node *>{ &node };
    for (const Node *child : changes) {
        Result<Change> change = toChange(*child);
        if (!change)
            return tl::unexpected(change.error());
        statement.m_changes.push_back(std::move(*change));
    }
    return statement;
}

Result<StatementBody> toUndo(const Node &node)
{
    const Result<uint64_t> revision = toWholeNumber(*node.children[0]);
    if (!revision)
        return tl::unexpected(revision.error());
    return UndoStatement{ *revision, toConditions(node), false };
}

Result<StatementBody> toBody(const Node &node);

Result<StatementBody> toCheck(const Node &node)
{
    Result<StatementBody> body = toBody(*node.children[0]);
    if (!body)
        return body;
    if (auto *changes = std::get_if<ChangeStatement>(&*body))
        changes->m_dryRun = true;
    if (auto *undo = std::get_if<UndoStatement>(&*body))
        undo->m_dryRun = true;
    return body;
}

Result<StatementBody> toBody(const Node &node)
{
    if (node.is_type<grammar::ShowStatement>())
        return toShow(node);
    if (node.is_type<grammar::WhyStatement>())
        return toWhy(node);
    if (node.is_type<grammar::HistoryStatement>())
        return toHistory(node);
    if (node.is_type<grammar::CheckStatement>())
        return toCheck(node);
    if (node.is_type<grammar::UndoStatement>())
        return toUndo(node);
    return toChanges(node);
}

/// What stands at an offset, for errors.
std::string foundAt(std::string_view text, size_t offset)
{
    if (offset >= text.size())
        return "the end";
    const std::string_view rest = text.substr(offset);
    size_t end = rest.find_first_of(" \t\r\n;", 1);
    if (end == rest.npos)
        end = rest.size();
    return fmt::format("\"{}\"", rest.substr(0, std::min(end, ShownCharacters)));
}

/// The statement around an offset, for errors.
std::string statementAt(std::string_view text, size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const size_t last = before.rfind(';');
    size_t begin = text.find_first_not_of(" \t\r\n", last == before.npos ? 0 : last + 1);
    begin = std::min(begin, text.size());
    const size_t end = std::min(text.find_first_of(";\n", begin), text.size());
    return trimmed(text.substr(begin, end - begin));
}

Error toError(std::string_view text, const pegtl::parse_error &error)
{
    const pegtl::position &at = error.positions().front();
    return { ErrorCode::InvalidArgument,
             fmt::format("In \"{}\", line {}, column {}: found {}, allowed {}.",
                         statementAt(text, at.byte), at.line, at.column, foundAt(text, at.byte),
                         error.message()) };
}

Result<std::vector<Statement>> toStatements(const Node &root)
{
    std::vector<Statement> statements;
    for (const Node *node : childrenOf<grammar::Statement>(root)) {
        Result<StatementBody> body = toBody(*node->children[0]);
        if (!body)
            return tl::unexpected(body.error());
        statements.push_back({ textOf(*node), std::move(*body) });
    }
    return statements;
}

} // namespace

Result<std::vector<Statement>> parseScript(std::string_view text)
{
    pegtl::memory_input input(text.data(), text.size(), "");
    try {
        const auto root =
            pegtl::parse_tree::parse<grammar::Script, Node, Selector, pegtl::nothing, Control>(
                input);
        if (!root)
            return makeError(ErrorCode::InvalidArgument, "The text is no statement.");
        return toStatements(*root);
    } catch (const pegtl::parse_error &error) {
        return tl::unexpected(toError(text, error));
    }
}

Result<Statement> parseStatement(std::string_view text)
{
    Result<std::vector<Statement>> statements = parseScript(text);
    if (!statements)
        return tl::unexpected(statements.error());
    if (statements->size() != 1)
        return makeError(ErrorCode::InvalidArgument,
                         fmt::format("Found {} statements, allowed one.", statements->size()));
    return std::move(statements->front());
}

} // namespace stackquay
