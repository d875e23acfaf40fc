#include <gtest/gtest.h>

#include "control/control.h"

namespace stackquay {
namespace {

Table animals()
{
    return { "animals",
             { { "name", CellType::Text },
               { "legs", CellType::Number },
               { "tame", CellType::Boolean },
               { "food", CellType::List } },
             { { "cat", int64_t(4), true, TextList{ "fish", "milk" } },
               { "Crow", int64_t(2), false, TextList{ "seeds" } },
               { "eel", {}, false, TextList{} },
               { "ant", int64_t(6), false, TextList{ "leaves" } } } };
}

Result<Table> show(const std::string &rest)
{
    const Result<Statement> statement = parseStatement("show animals " + rest);
    if (!statement)
        return tl::unexpected(statement.error());
    return selectRows(animals(), std::get<ShowStatement>(statement->m_body));
}

std::string namesOf(const std::string &rest)
{
    const Result<Table> table = show(rest);
    if (!table)
        return table.error().m_message;
    std::string names;
    for (const Row &row : table->m_rows)
        names += (names.empty() ? "" : " ") + std::get<std::string>(row.front());
    return names;
}

TEST(Table, filters)
{
    EXPECT_EQ(namesOf("where legs > 2"), "cat ant");
    EXPECT_EQ(namesOf("where legs != 4"), "Crow eel ant");
    EXPECT_EQ(namesOf("where legs = none"), "eel");
    EXPECT_EQ(namesOf("where tame = true or name ~ C"), "cat Crow");
    EXPECT_EQ(namesOf("where food = milk"), "cat");
    EXPECT_EQ(namesOf("where not food in (milk, seeds)"), "eel ant");
    EXPECT_EQ(namesOf("where tame = false and (legs < 3 or name = ant)"), "Crow ant");
    EXPECT_EQ(namesOf("where tame = true or tame = false and legs = 6"), "cat ant");
}

TEST(Table, ordersAndLimits)
{
    EXPECT_EQ(namesOf("order by legs desc limit 2"), "ant cat");
    EXPECT_EQ(namesOf("order by tame, name desc"), "eel ant Crow cat");
    EXPECT_EQ(namesOf("limit 0"), "");
}

TEST(Table, errorsNameColumnFoundAndAllowed)
{
    EXPECT_EQ(namesOf("where legs = many"), "column \"legs\": found many, allowed a number");
    EXPECT_EQ(namesOf("where tame = 1"),
              "column \"tame\": found 1, allowed = or != with true or false");
    EXPECT_EQ(namesOf("order by size"),
              "column \"size\": not a column of animals, allowed name, legs, tame, food");
    EXPECT_EQ(namesOf("size"),
              "column \"size\": not a column of animals, allowed name, legs, tame, food");
}

TEST(Table, rendersForPeopleAndPrograms)
{
    const Result<Table> table = show("legs, name, food limit 3");
    ASSERT_TRUE(table);
    EXPECT_EQ(renderText(*table), "legs  name  food\n"
                                  "   4  cat   fish, milk\n"
                                  "   2  Crow  seeds\n"
                                  "   -  eel\n");
    EXPECT_EQ(renderJson(*table).dump(),
              R"({"table":"animals","rows":[{"legs":4,"name":"cat","food":["fish","milk"]},)"
              R"({"legs":2,"name":"Crow","food":["seeds"]},)"
              R"({"legs":null,"name":"eel","food":[]}]})");
}

} // namespace
} // namespace stackquay
