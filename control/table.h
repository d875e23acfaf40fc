/// Tables of typed cells: what `show` answers, filtered, ordered and rendered.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "control/statement.h"

namespace stackquay {

using TextList = std::vector<std::string>;
/// monostate: no value.
using Cell = std::variant<std::monostate, bool, int64_t, double, std::string, TextList>;

enum class CellType {
    Text,
    Number,
    Boolean,
    List,
};

struct Column {
    std::string m_name;
    CellType m_type = CellType::Text;
};

using Row = std::vector<Cell>;

struct Table {
    std::string m_name;
    std::vector<Column> m_columns;
    std::vector<Row> m_rows; ///< Each as long as m_columns.
};

/// A JSON value as a cell; an object in a list becomes "first (key=value, ...)".
Cell cellFromJson(const IntentJson &json);

/// Whether a cell meets a comparison. A list equals what it contains; no value equals only none.
/// InvalidArgument if the literal does not fit the type: what was found and what is allowed.
Result<bool> compareCell(const Cell &cell, CellType type, Comparison comparison,
                         const std::vector<Literal> &values);

/// The rows and columns that the statement asks for. Errors name the column.
Result<Table> selectRows(const Table &table, const ShowStatement &statement);

/// Aligned columns under a heading, for people.
std::string renderText(const Table &table);

/// {"table", "rows": [{column: value}]}, for programs.
IntentJson renderJson(const Table &table);

} // namespace stackquay
