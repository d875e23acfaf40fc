#include <future>

#include <gtest/gtest.h>

#include "net/net.h"
#include "tests/support/raw_endpoint.h"

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

TEST(FieldTest, TellsWhatIsNoValue)
{
    for (const std::string &value : { ""s, "a"s, "a b\tc"s, "\xc3\xbc"s, std::string(65'533, 'a') })
        EXPECT_TRUE(isFieldValue(value)) << value.size();
    for (const std::string &value : { " a"s, "a "s, "a\t"s, "a\rb"s, "a\nb"s, "a\0b"s, "a\x01"s,
                                      "a\x7f"s, std::string(65'534, 'a') })
        EXPECT_FALSE(isFieldValue(value)) << value.size();
}

class SendTest : public testing::Test
{
protected:
    SendTest() { m_thread.start(); }
    ~SendTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    Result<HttpResponse> send(const HttpRequest &request)
    {
        std::promise<Result<HttpResponse>> answer;
        m_thread.post([&] {
            HttpPool pool(m_thread.context());
            answer.set_value(pool.call(m_endpoint.address(), request, { Seconds(5) }, false));
        });
        return answer.get_future().get();
    }

    RawEndpoint m_endpoint;
    FiberThread m_thread{ "sender" };
};

/// Heads that are not HTTP, or are more than one.
class RefusedHeadTest : public SendTest, public testing::WithParamInterface<HttpRequest>
{ };

TEST_P(RefusedHeadTest, IsNotSent)
{
    m_endpoint.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", RawEnd::Close);
    const auto answer = send(GetParam());
    ASSERT_FALSE(answer);
    EXPECT_EQ(answer.error().m_code, ErrorCode::InvalidArgument) << answer.error().m_message;
    EXPECT_EQ(m_endpoint.requests(), 0u);
}

// Names of cases would be those of pointers else.
INSTANTIATE_TEST_SUITE_P(
    Heads, RefusedHeadTest,
    testing::Values(HttpRequest{ "GET", "", {}, "" }, HttpRequest{ "GET", "/a b", {}, "" },
                    HttpRequest{ "GET", "/a\r\nX-Added: 1", {}, "" },
                    HttpRequest{ "GET", "/a\0"s, {}, "" }, HttpRequest{ "GET", "/a\x7f", {}, "" },
                    HttpRequest{ "G T", "/", {}, "" }, HttpRequest{ "", "/", {}, "" },
                    HttpRequest{ "GET", "/", { { "X-A", "b\r\nX-Added: 1" } }, "" },
                    HttpRequest{ "GET", "/", { { "X-A", "b\nc" } }, "" },
                    HttpRequest{ "GET", "/", { { "X-A", "b\0"s } }, "" },
                    HttpRequest{ "GET", "/", { { "X-A", std::string(70'000, 'b') } }, "" },
                    HttpRequest{ "GET", "/", { { "X-A: b\r\nX-Added", "1" } }, "" },
                    HttpRequest{ "GET", "/", { { "X A", "1" } }, "" },
                    HttpRequest{ "GET", "/", { { "", "1" } }, "" },
                    HttpRequest{ "GET", "/", { { "Host", "a\r\nX-Added: 1" } }, "" }));

// Clients send such heads, and they are passed on.
TEST_F(SendTest, UnusualHeadIsSent)
{
    m_endpoint.setAnswer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", RawEnd::Close);
    EXPECT_TRUE(send({ "PURGE", "/a|b\"\xc3\xbc#c", { { "X-A", " \xfc\t" }, { "X-B", "" } }, "" }));
    EXPECT_EQ(m_endpoint.requests(), 1u);
}

} // namespace
} // namespace stackquay
