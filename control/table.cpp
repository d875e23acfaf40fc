#include "control/table.h"

#include <algorithm>
#include <numeric>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace stackquay {

namespace {

constexpr size_t ColumnGap = 2;

std::string cellText(const Cell &cell)
{
    struct Format {
        std::string operator()(std::monostate) const { return "-"; }
        std::string operator()(bool value) const { return value ? "true" : "false"; }
        std::string operator()(int64_t value) const { return fmt::format("{}", value); }
        std::string operator()(double value) const { return fmt::format("{:.6g}", value); }
        std::string operator()(const std::string &text) const { return text; }
        std::string operator()(const TextList &list) const
        {
            return fmt::format("{}", fmt::join(list, ", "));
        }
    };
    return std::visit(Format{}, cell);
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::optional<double> cellNumber(const Cell &cell)
{
    if (const auto *whole = std::get_if<int64_t>(&cell))
        return static_cast<double>(*whole);
    if (const auto *number = std::get_if<double>(&cell))
        return *number;
    return std::nullopt;
}

template<typename T>
bool holds(const T &left, Comparison comparison, const T &right)
{
    switch (comparison) {
    case Comparison::Equal:
    case Comparison::In:
        return left == right;
    case Comparison::NotEqual:
        return left != right;
    case Comparison::Less:
        return left < right;
    case Comparison::LessOrEqual:
        return left <= right;
    case Comparison::Greater:
        return left > right;
    case Comparison::GreaterOrEqual:
        return left >= right;
    case Comparison::Contains:
        return false;
    }
    std::abort();
}

/// A literal as text: as it stood if without quotes.
std::string literalText(const Literal &literal)
{
    if (!literal.m_bare.empty())
        return literal.m_bare;
    return literal.m_value.is_string() ? literal.m_value.get<std::string>()
                                       : literal.m_value.dump();
}

tl::unexpected<Error> mismatch(const Literal &literal, std::string_view allowed)
{
    return makeError(ErrorCode::InvalidArgument,
                     fmt::format("found {}, allowed {}", literalText(literal), allowed));
}

bool isOrdering(Comparison comparison)
{
    return comparison == Comparison::Less || comparison == Comparison::LessOrEqual
           || comparison == Comparison::Greater || comparison == Comparison::GreaterOrEqual;
}

Result<bool> compareNumber(const Cell &cell, Comparison comparison, const Literal &literal)
{
    if (!literal.m_value.is_number())
        return mismatch(literal, "a number");
    const std::optional<double> number = cellNumber(cell);
    if (!number)
        return comparison == Comparison::NotEqual;
    return holds(*number, comparison, literal.m_value.get<double>());
}

Result<bool> compareBoolean(const Cell &cell, Comparison comparison, const Literal &literal)
{
    if (!literal.m_value.is_boolean() || isOrdering(comparison))
        return mismatch(literal, "= or != with true or false");
    const bool *value = std::get_if<bool>(&cell);
    return holds(value && *value, comparison, literal.m_value.get<bool>());
}

Result<bool> compareList(const Cell &cell, Comparison comparison, const Literal &literal)
{
    if (isOrdering(comparison))
        return mismatch(literal, "= != ~ or in with a list's member");
    static const TextList empty;
    const auto *list = std::get_if<TextList>(&cell);
    const TextList &members = list ? *list : empty;
    const bool contains =
        std::find(members.begin(), members.end(), literalText(literal)) != members.end();
    return contains != (comparison == Comparison::NotEqual);
}

Result<bool> compareText(const Cell &cell, Comparison comparison, const Literal &literal)
{
    if (literal.m_value.is_structured())
        return mismatch(literal, "a text");
    if (std::holds_alternative<std::monostate>(cell))
        return comparison == Comparison::NotEqual;
    return holds(cellText(cell), comparison, literalText(literal));
}

Result<bool> compareOne(const Cell &cell, CellType type, Comparison comparison,
                        const Literal &literal)
{
    if (comparison == Comparison::Contains)
        return lowered(cellText(cell)).find(lowered(literalText(literal))) != std::string::npos;
    if (literal.m_value.is_null()) {
        if (isOrdering(comparison))
            return mismatch(literal, "a value, as none has no order");
        return std::holds_alternative<std::monostate>(cell) != (comparison == Comparison::NotEqual);
    }
    switch (type) {
    case CellType::Number:
        return compareNumber(cell, comparison, literal);
    case CellType::Boolean:
        return compareBoolean(cell, comparison, literal);
    case CellType::List:
        return compareList(cell, comparison, literal);
    case CellType::Text:
        return compareText(cell, comparison, literal);
    }
    std::abort();
}

Result<size_t> columnIndex(const Table &table, const std::string &name)
{
    TextList allowed;
    for (size_t index = 0; index < table.m_columns.size(); ++index) {
        if (table.m_columns[index].m_name == name)
            return index;
        allowed.push_back(table.m_columns[index].m_name);
    }
    return makeError(ErrorCode::InvalidArgument,
                     fmt::format("column \"{}\": not a column of {}, allowed {}", name,
                                 table.m_name, fmt::join(allowed, ", ")));
}

Result<bool> meets(const Table &table, const Row &row, const Expression &expression);

Result<bool> meetsGroup(const Table &table, const Row &row, const Expression &expression)
{
    const bool isOr = expression.m_kind == Expression::Kind::Or;
    bool result = !isOr;
    for (const Expression &operand : expression.m_operands) {
        const Result<bool> met = meets(table, row, operand);
        if (!met)
            return met;
        result = isOr ? result || *met : result && *met;
    }
    return result;
}

Result<bool> meetsComparison(const Table &table, const Row &row, const Expression &expression)
{
    const Result<size_t> index = columnIndex(table, expression.m_column);
    if (!index)
        return tl::unexpected(index.error());
    Result<bool> met = compareCell(row[*index], table.m_columns[*index].m_type,
                                   expression.m_comparison, expression.m_values);
    if (!met)
        return makeError(met.error().m_code, fmt::format("column \"{}\": {}", expression.m_column,
                                                         met.error().m_message));
    return met;
}

Result<bool> meets(const Table &table, const Row &row, const Expression &expression)
{
    if (expression.m_kind == Expression::Kind::Compare)
        return meetsComparison(table, row, expression);
    if (expression.m_kind != Expression::Kind::Not)
        return meetsGroup(table, row, expression);
    const Result<bool> met = meets(table, row, expression.m_operands.front());
    if (!met)
        return met;
    return !*met;
}

/// The filter on a row of no values, so that its errors show for an empty table too.
Status checkFilter(const Table &table, const Expression &expression)
{
    const Result<bool> met = meets(table, Row(table.m_columns.size()), expression);
    if (!met)
        return tl::unexpected(met.error());
    return {};
}

Status filterRows(Table &table, const Expression &expression)
{
    if (const Status checked = checkFilter(table, expression); !checked)
        return checked;
    std::erase_if(table.m_rows, [&](const Row &row) {
        const Result<bool> met = meets(table, row, expression);
        return !met || !*met;
    });
    return {};
}

Status orderRows(Table &table, const std::vector<OrderBy> &orderBy)
{
    for (auto order = orderBy.rbegin(); order != orderBy.rend(); ++order) {
        const Result<size_t> index = columnIndex(table, order->m_column);
        if (!index)
            return tl::unexpected(index.error());
        std::stable_sort(table.m_rows.begin(), table.m_rows.end(),
                         [&](const Row &left, const Row &right) {
                             return order->m_descending ? right[*index] < left[*index]
                                                        : left[*index] < right[*index];
                         });
    }
    return {};
}

Status chooseColumns(Table &table, const std::vector<std::string> &names)
{
    std::vector<size_t> indices;
    for (const std::string &name : names) {
        const Result<size_t> index = columnIndex(table, name);
        if (!index)
            return tl::unexpected(index.error());
        indices.push_back(*index);
    }
    const Table whole = std::move(table);
    table = { whole.m_name, {}, {} };
    for (const size_t index : indices)
        table.m_columns.push_back(whole.m_columns[index]);
    for (const Row &row : whole.m_rows) {
        Row &chosen = table.m_rows.emplace_back();
        for (const size_t index : indices)
            chosen.push_back(row[index]);
    }
    return {};
}

Status select(Table &table, const ShowStatement &statement)
{
    if (statement.m_where) {
        if (const Status filtered = filterRows(table, *statement.m_where); !filtered)
            return filtered;
    }
    if (const Status ordered = orderRows(table, statement.m_orderBy); !ordered)
        return ordered;
    if (statement.m_limit && *statement.m_limit < table.m_rows.size())
        table.m_rows.resize(*statement.m_limit);
    if (statement.m_columns.empty())
        return {};
    return chooseColumns(table, statement.m_columns);
}

std::string memberText(const IntentJson &json)
{
    if (json.is_string())
        return json.get<std::string>();
    if (!json.is_object() || json.empty())
        return json.dump();
    TextList rest;
    for (auto item = std::next(json.begin()); item != json.end(); ++item)
        rest.push_back(fmt::format("{}={}", item.key(), memberText(item.value())));
    return fmt::format("{} ({})", memberText(*json.begin()), fmt::join(rest, " "));
}

struct CellToJson {
    IntentJson operator()(std::monostate) const { return nullptr; }

    template<typename T>
    IntentJson operator()(const T &value) const
    {
        return value;
    }
};

IntentJson cellJson(const Cell &cell)
{
    return std::visit(CellToJson{}, cell);
}

} // namespace

Cell cellFromJson(const IntentJson &json)
{
    if (json.is_boolean())
        return json.get<bool>();
    if (json.is_number_integer())
        return json.get<int64_t>();
    if (json.is_number())
        return json.get<double>();
    if (json.is_null())
        return std::monostate();
    if (!json.is_array())
        return memberText(json);
    TextList list;
    for (const IntentJson &item : json)
        list.push_back(memberText(item));
    return list;
}

Result<bool> compareCell(const Cell &cell, CellType type, Comparison comparison,
                         const std::vector<Literal> &values)
{
    for (const Literal &value : values) {
        const Result<bool> met = compareOne(cell, type, comparison, value);
        if (!met || *met)
            return met;
    }
    return false;
}

Result<Table> selectRows(const Table &table, const ShowStatement &statement)
{
    Table selected = table;
    const Status done = select(selected, statement);
    if (!done)
        return tl::unexpected(done.error());
    return selected;
}

std::string renderText(const Table &table)
{
    std::vector<TextList> lines(1);
    for (const Column &column : table.m_columns)
        lines.front().push_back(column.m_name);
    for (const Row &row : table.m_rows) {
        TextList &line = lines.emplace_back();
        for (const Cell &cell : row)
            line.push_back(cellText(cell));
    }
    std::vector<size_t> widths(table.m_columns.size());
    for (const TextList &line : lines) {
        for (size_t index = 0; index < line.size(); ++index)
            widths[index] = std::max(widths[index], line[index].size());
    }
    std::string text;
    for (const TextList &line : lines) {
        std::string padded;
        for (size_t index = 0; index < line.size(); ++index) {
            const bool number = table.m_columns[index].m_type == CellType::Number;
            padded += number ? fmt::format("{:>{}}", line[index], widths[index])
                             : fmt::format("{:<{}}", line[index], widths[index]);
            padded += std::string(ColumnGap, ' ');
        }
        padded.erase(padded.find_last_not_of(' ') + 1);
        text += padded + "\n";
    }
    return text;
}

IntentJson renderJson(const Table &table)
{
    IntentJson rows = IntentJson::array();
    for (const Row &row : table.m_rows) {
        IntentJson object = IntentJson::object();
        for (size_t index = 0; index < row.size(); ++index)
            object[table.m_columns[index].m_name] = cellJson(row[index]);
        rows.push_back(std::move(object));
    }
    return { { "table", table.m_name }, { "rows", std::move(rows) } };
}

} // namespace stackquay
