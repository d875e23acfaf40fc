#include <gtest/gtest.h>

#include "net/net.h"

namespace stackquay {
namespace {

using namespace std::string_literals;

std::string allBytes()
{
    constexpr int Bytes = 256;
    std::string text;
    for (int byte = 0; byte < Bytes; ++byte)
        text += static_cast<char>(byte);
    return text;
}

TEST(RequestTargetTest, UnreservedCharactersStayAsTheyAre)
{
    const std::string unreserved = "AZaz09-._~";
    EXPECT_EQ(percentEncode(unreserved), unreserved);
    EXPECT_EQ(percentEncode("a b+c%d/e?f&g=h#i\xc3\xbc\r\n\0"s),
              "a%20b%2Bc%25d%2Fe%3Ff%26g%3Dh%23i%C3%BC%0D%0A%00");
}

TEST(RequestTargetTest, AllBytesComeBack)
{
    EXPECT_EQ(percentDecode(percentEncode(allBytes())), allBytes());
    EXPECT_EQ(percentDecode("%41%2b%2B"), "A++");
    EXPECT_EQ(percentDecode("a+b"), "a+b");
}

TEST(RequestTargetTest, MalformedEscapesAreNotDecoded)
{
    for (const char *text : { "%", "%4", "%4g", "%g4", "%-4", "%+4", "% 4", "a%" })
        EXPECT_FALSE(percentDecode(text)) << text;
}

TEST(RequestTargetTest, PartsAreReadAsTheyWereWritten)
{
    const std::string target =
        writeTarget({ "objects", allBytes() }, { { "after", allBytes() }, { "a&b=c", "d" } });
    EXPECT_TRUE(isRequestTarget(target));
    const HttpRequest request{ "GET", target, {}, "" };
    EXPECT_EQ(percentDecode(request.path()), "/objects/" + allBytes());
    EXPECT_EQ(request.query("after"), allBytes());
    EXPECT_EQ(writeTarget({ "a", "b" }), "/a/b");
    EXPECT_EQ(writeTarget({ "a" }, { { "b", "c" }, { "d", "" } }), "/a?b=c&d=");
}

TEST(RequestTargetTest, TellsWhatIsNoTarget)
{
    for (const char *target : { "/", "/a/b?c=d&e=/?:@", "/%41", "/a;b,c=(d)!$'*+", "/?" })
        EXPECT_TRUE(isRequestTarget(target)) << target;
    for (const std::string &target :
         { ""s, "a"s, "*"s, "/a b"s, "/a#b"s, "/%"s, "/%4"s, "/\xc3\xbc"s, "/\r\n"s, "/a\0b"s,
           "/\x7f"s, "/\""s, "/<"s, "/\\"s, "/^"s, "/`"s, "/{"s, "/|"s })
        EXPECT_FALSE(isRequestTarget(target)) << target;
}

} // namespace
} // namespace stackquay
