// Answers that are not HTTP, or whose end cannot be told: reading them fails.

#include <future>

#include <gtest/gtest.h>

#include "net/net.h"
#include "tests/support/raw_endpoint.h"

namespace stackquay {
namespace {

using namespace std::string_literals;

constexpr Seconds Timeout{ 5 };

struct AnswerCase {
    std::string m_name;
    std::string m_bytes;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest asks for.
void PrintTo(const AnswerCase &answer, std::ostream *out)
{
    *out << answer.m_name;
}

std::string withField(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\nan answer";
}

std::string withStatus(const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nContent-Length: 9\r\n\r\nan answer";
}

std::string withChunks(const std::string &chunks)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
}

class RawAnswerTest : public testing::Test
{
protected:
    RawAnswerTest() { m_thread.start(); }

    ~RawAnswerTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    /// The answer of an endpoint that sends @p bytes and ends the connection in order.
    Result<HttpResponse> read(const std::string &bytes)
    {
        m_endpoint.setAnswer(bytes, RawEnd::Close);
        std::promise<Result<HttpResponse>> answer;
        m_thread.post([&] {
            HttpPool pool(m_thread.context());
            answer.set_value(
                pool.call(m_endpoint.address(), { "POST", "/", {}, "" }, { Timeout }, false));
        });
        return answer.get_future().get();
    }

    RawEndpoint m_endpoint;
    FiberThread m_thread{ "reader" };
};

class MalformedAnswerTest : public RawAnswerTest, public testing::WithParamInterface<AnswerCase>
{ };

TEST_P(MalformedAnswerTest, IsAnError)
{
    const auto answer = read(GetParam().m_bytes);
    ASSERT_FALSE(answer) << answer->m_status << " " << answer->m_body;
    EXPECT_EQ(answer.error().m_code, ErrorCode::ProtocolError) << answer.error().m_message;
}

const AnswerCase StatusLines[] = {
    { "Status000", withStatus("000 OK") },
    { "Status001", withStatus("001 OK") },
    { "Status099", withStatus("099 OK") },
    { "Status101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n" },
    { "Status600", withStatus("600 OK") },
    { "Status999", withStatus("999 OK") },
    { "StatusOfTwoDigits", withStatus("20 OK") },
    { "StatusOfFourDigits", withStatus("2000 OK") },
    { "StatusWithLetter", withStatus("2x0 OK") },
    { "NegativeStatus", withStatus("-20 OK") },
    { "BlankStatus", withStatus("    OK") },
    { "Version2", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n" },
    { "Version0", "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n" },
    { "OtherProtocol", "SMTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
    { "ControlByteInReason", withStatus("200 O\x01K") },
    { "BareLineFeed", "HTTP/1.1 200 OK\nContent-Length: 0\n\n" },
};

const AnswerCase Fields[] = {
    { "BlankBeforeColon", withField("Content-Length : 9") },
    { "TabBeforeColon", withField("Content-Length\t: 9") },
    { "BlankInName", withField("Content Length: 9") },
    { "BlankBeforeName", withField(" Content-Length: 9") },
    { "ControlByteInName", withField("X-Filler\x01: a") },
    { "ControlByteInTransferEncoding", withField("Transfer-Encoding\x0b: chunked") },
    { "NulInName", withField(std::string("X-Fil\0ler: a", 12)) },
    { "DeleteInName", withField("X-Fil\x7fler: a") },
    { "ByteBeyondAsciiInName", withField("X-Fil\xfcler: a") },
    { "CarriageReturnInName", withField("X-Fil\rler: a") },
    { "EmptyName", withField(": a") },
    { "LineWithoutColon", withField("Filler") },
    { "BlankInLongName", withField("X-Filler-Filler-Filler-Filler-Filler-Fil ler: a") },
    { "ControlByteInLongName", withField("X-Filler-Filler-Filler-Filler-Filler-Fil\x1fler: a") },
    { "ControlByteInValue", withField("X-Filler: a\x01") },
    { "NulInValue", withField(std::string("X-Filler: a\0b", 13)) },
    { "CarriageReturnInValue", withField("X-Filler: a\rb") },
    { "LineFeedInValue", withField("X-Filler: a\nb") },
};

const AnswerCase Framing[] = {
    { "TwoLengths", withField("Content-Length: 9\r\nContent-Length: 5") },
    { "ListOfTwoLengths", withField("Content-Length: 9, 5") },
    { "SignedLength", withField("Content-Length: +9") },
    { "NegativeLength", withField("Content-Length: -9") },
    { "HexLength", withField("Content-Length: 0x9") },
    { "EmptyLength", withField("Content-Length:") },
    { "LengthWithUnit", withField("Content-Length: 9 bytes") },
    { "LengthBeyond64Bits", withField("Content-Length: 18446744073709551625") },
    { "LengthThenChunked", withField("Content-Length: 9\r\nTransfer-Encoding: chunked") },
    { "ChunkedThenLength", withField("Transfer-Encoding: chunked\r\nContent-Length: 9") },
    { "LengthThenGzip", withField("Content-Length: 9\r\nTransfer-Encoding: gzip") },
    { "GzipThenLength", withField("Transfer-Encoding: gzip\r\nContent-Length: 9") },
    { "Gzip", withField("Transfer-Encoding: gzip") },
    { "UnknownEncoding", withField("Transfer-Encoding: xchunked") },
    { "EmptyEncoding", withField("Transfer-Encoding:") },
    { "ChunkedTwice", withField("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") },
    { "ChunkedBeforeGzip", withField("Transfer-Encoding: chunked, gzip") },
    { "GzipBeforeChunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
                           "9\r\nan answer\r\n0\r\n\r\n" },
    { "EncodingInParts",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
      "9\r\nan answer\r\n0\r\n\r\n" },
    { "ChunkSizeNotHex", withChunks("x\r\nan answer\r\n0\r\n\r\n") },
    { "NegativeChunkSize", withChunks("-9\r\nan answer\r\n0\r\n\r\n") },
    { "SignedChunkSize", withChunks("+9\r\nan answer\r\n0\r\n\r\n") },
    { "PrefixedChunkSize", withChunks("0x9\r\nan answer\r\n0\r\n\r\n") },
    { "ChunkSizeBeyond64Bits", withChunks("10000000000000009\r\nan answer\r\n0\r\n\r\n") },
    { "EmptyChunkSize", withChunks("\r\nan answer\r\n0\r\n\r\n") },
    { "ChunkLongerThanItsSize", withChunks("5\r\nan answer\r\n0\r\n\r\n") },
    { "ControlByteInTrailer", withChunks("9\r\nan answer\r\n0\r\nX-A\x01: a\r\n\r\n") },
};

// An answer that ends inside its head, or before its body as announced, is none.
TEST_F(RawAnswerTest, CutAnswerIsAnError)
{
    for (const std::string &whole :
         { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"s,
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"s }) {
        for (size_t size = 0; size < whole.size(); ++size)
            EXPECT_FALSE(read(whole.substr(0, size))) << whole.substr(0, size);
        EXPECT_TRUE(read(whole)) << whole;
    }
    const std::string unframed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
    for (size_t size = 0; size < unframed.size(); ++size)
        EXPECT_FALSE(read(unframed.substr(0, size))) << unframed.substr(0, size);
}

std::string caseName(const testing::TestParamInfo<AnswerCase> &info)
{
    return info.param.m_name;
}

INSTANTIATE_TEST_SUITE_P(StatusLine, MalformedAnswerTest, testing::ValuesIn(StatusLines), caseName);
INSTANTIATE_TEST_SUITE_P(Field, MalformedAnswerTest, testing::ValuesIn(Fields), caseName);
INSTANTIATE_TEST_SUITE_P(Framing, MalformedAnswerTest, testing::ValuesIn(Framing), caseName);

} // namespace
} // namespace stackquay
