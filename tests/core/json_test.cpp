#include <gtest/gtest.h>

#include "core/json_fields.h"
#include "core/json_text.h"

namespace stackquay {
namespace {

std::string nested(size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

// A value from outside must not be nested so deeply that functions which call themselves once a
// level overflow a fiber's stack.
TEST(JsonFieldsTest, DeeplyNestedTextIsAnError)
{
    EXPECT_TRUE(parseJson(nested(MaxJsonDepth)));
    EXPECT_TRUE(parseJsonObject(R"({"a":)" + nested(MaxJsonDepth - 1) + "}"));
    for (const size_t levels : { size_t(MaxJsonDepth) + 1, size_t(500'000) }) {
        const auto deep = parseJson(nested(levels));
        ASSERT_FALSE(deep) << levels;
        EXPECT_EQ(deep.error().m_message, "JSON nested too deeply");
        EXPECT_FALSE(parseJsonObject(R"({"a":)" + nested(levels) + R"(,"b":1})"));
    }
}

TEST(JsonTextTest, SplitsAnObjectWithoutDecodingItsValues)
{
    const std::string text = " {\"a\" : 1e999, \"b\":[1,{\"x\":\"]\\\"\"}] ,\"c\":\"\\ud83d\xff\","
                             "\"d\":{}\n, \"e\":-0,\"a\":2} ";
    const auto members = splitJsonObject(text);
    ASSERT_TRUE(members);
    ASSERT_EQ(members->size(), 6u);
    EXPECT_EQ(members->front().m_value, "1e999");
    EXPECT_EQ(findJsonMember(*members, "a"), "2") << "the last one, as the decoder takes";
    EXPECT_EQ(findJsonMember(*members, "b"), R"([1,{"x":"]\""}])");
    EXPECT_EQ(findJsonMember(*members, "c"), "\"\\ud83d\xff\"");
    EXPECT_EQ(findJsonMember(*members, "d"), "{}");
    EXPECT_EQ(findJsonMember(*members, "e"), "-0");
    EXPECT_TRUE(findJsonMember(*members, "f").empty());
}

TEST(JsonTextTest, SplitsAnArrayOfAnyDepth)
{
    const std::string deep = nested(500'000);
    const std::string text = R"([ "a,b" , )" + deep + R"(,{"c":[2]}, null])";
    const auto items = splitJsonArray(text);
    ASSERT_TRUE(items);
    EXPECT_EQ(*items, (std::vector<std::string_view>{ R"("a,b")", deep, R"({"c":[2]})", "null" }));
    EXPECT_TRUE(splitJsonArray("[]")->empty());
    EXPECT_TRUE(splitJsonObject("{}")->empty());
}

TEST(JsonTextTest, RefusesWhatIsNoContainer)
{
    for (const char *text :
         { "", "7", "null", "[", "[1", "[1,]", "[1 2]", R"(["\"])", "{", R"({"a"})", R"({"a":})",
           R"({"a":1,})", R"({a:1})", "[] []", "{\"a\\" }) {
        EXPECT_FALSE(splitJsonArray(text)) << text;
        EXPECT_FALSE(splitJsonObject(text)) << text;
    }
    EXPECT_FALSE(splitJsonArray("{}"));
    EXPECT_FALSE(splitJsonObject("[]"));
}

} // namespace
} // namespace stackquay
