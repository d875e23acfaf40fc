// Every example of docs/LANGUAGE.md, and its table of columns, against the code.
#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

#include "control/control.h"

namespace stackquay {
namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(std::string(STACKQUAY_SOURCE_DIR) + "/" + path);
    EXPECT_TRUE(file) << path;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

Intent carrick()
{
    const Result<Intent> intent = decodeIntent(readFile("examples/carrick/intent.json"));
    EXPECT_TRUE(intent);
    return intent.value_or(Intent());
}

/// The lines of all fenced blocks of one kind.
std::vector<std::string> fencedLines(const std::string &kind)
{
    std::istringstream page(readFile("docs/LANGUAGE.md"));
    std::vector<std::string> lines;
    bool inside = false;
    for (std::string line; std::getline(page, line);) {
        if (line.starts_with("```"))
            inside = line == "```" + kind;
        else if (inside)
            lines.push_back(line);
    }
    EXPECT_FALSE(lines.empty()) << kind;
    return lines;
}

Result<Intent> runChange(const Intent &intent, const std::string &line)
{
    const Result<Statement> statement = parseStatement(line);
    if (!statement)
        return tl::unexpected(statement.error());
    return applyChanges(intent, std::get<ChangeStatement>(statement->m_body));
}

TEST(LanguagePage, examplesAreAccepted)
{
    const Intent intent = carrick();
    for (const std::string &line : fencedLines("statements")) {
        const Result<Statement> statement = parseStatement(line);
        ASSERT_TRUE(statement) << statement.error().m_message;
        EXPECT_EQ(statement->m_text, line);
        if (const auto *show = std::get_if<ShowStatement>(&statement->m_body)) {
            const Result<Table> table = intentTable(intent, show->m_table);
            if (!table)
                continue; // A table of what runs, not of what is declared.
            const Result<Table> selected = selectRows(*table, *show);
            ASSERT_TRUE(selected) << line << ": " << selected.error().m_message;
            EXPECT_FALSE(selected->m_rows.empty()) << line;
        }
        if (changesIntent(*statement)) {
            const Result<Intent> changed = runChange(intent, line);
            ASSERT_TRUE(changed) << changed.error().m_message;
            EXPECT_EQ(changed->m_revision, intent.m_revision + 1);
        }
    }
}

TEST(LanguagePage, refusalsReadAsShown)
{
    const Intent intent = carrick();
    const std::vector<std::string> lines = fencedLines("refused");
    for (size_t index = 0; index + 1 < lines.size(); index += 2) {
        const Result<Intent> changed = runChange(intent, lines[index]);
        const std::string error = changed ? "accepted" : changed.error().m_message;
        EXPECT_EQ("# " + error.substr(0, error.find('\n')), lines[index + 1]);
    }
}

std::string describe(const Table &table)
{
    std::string columns;
    for (const Column &column : table.m_columns)
        columns += (columns.empty() ? "" : ", ") + column.m_name;
    return "| `" + table.m_name + "` | " + columns + " |";
}

TEST(LanguagePage, listsTheColumnsOfEveryTable)
{
    const std::string page = readFile("docs/LANGUAGE.md");
    for (const std::string &name : intentTableNames())
        EXPECT_NE(page.find(describe(*intentTable(Intent(), name))), std::string::npos) << name;
    for (const Table &table :
         { vmTable({}), requestTable({}), orderTable({}), leaseTable({}), changeTable({}) })
        EXPECT_NE(page.find(describe(table)), std::string::npos) << describe(table);
}

} // namespace
} // namespace stackquay
