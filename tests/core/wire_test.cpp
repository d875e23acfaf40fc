#include <gtest/gtest.h>

#include "core/core.h"

namespace stackquay {
namespace {

enum class MessageType : uint16_t {
    Hello = 7,
    Bye = 0x1234,
};

struct Hello {
    std::string m_name;
    std::vector<uint64_t> m_numbers;

    MSGPACK_DEFINE(m_name, m_numbers)
};

TEST(Wire, FramesSurviveAnyCut)
{
    const std::string bytes = encodeFrame(MessageType::Hello, Hello{ "one", { 1, 2 } })
                              + encodeFrame(MessageType::Bye, Hello{ "two", {} });
    for (size_t piece = 1; piece <= bytes.size(); ++piece) {
        FrameReader reader;
        std::vector<WireFrame> frames;
        for (size_t start = 0; start < bytes.size(); start += piece) {
            reader.feed(std::string_view(bytes).substr(start, piece));
            for (auto frame = reader.next(); frame && *frame; frame = reader.next())
                frames.push_back(**frame);
        }
        ASSERT_EQ(frames.size(), 2u) << piece;
        EXPECT_TRUE(reader.empty());
        EXPECT_EQ(frames[0].type<MessageType>(), MessageType::Hello);
        EXPECT_EQ(frames[1].type<MessageType>(), MessageType::Bye);
        const auto hello = decodePayload<Hello>(frames[0]);
        ASSERT_TRUE(hello);
        EXPECT_EQ(hello->m_name, "one");
        EXPECT_EQ(hello->m_numbers, (std::vector<uint64_t>{ 1, 2 }));
    }
}

TEST(Wire, TruncatedFrameIsNotGivenOut)
{
    std::string bytes = encodeFrame(MessageType::Hello, Hello{ "one", {} });
    bytes.pop_back();
    FrameReader reader;
    reader.feed(bytes);
    const auto frame = reader.next();
    ASSERT_TRUE(frame);
    EXPECT_FALSE(*frame);
    EXPECT_FALSE(reader.empty());
}

TEST(Wire, RefusesOversizedFrameBeforeItsBody)
{
    FrameReader reader(100);
    reader.feed(std::string_view("\0\0\0\x65", 4));
    const auto frame = reader.next();
    ASSERT_FALSE(frame);
    EXPECT_EQ(frame.error().m_code, ErrorCode::ProtocolError);
    // The stream stays lost, even if good bytes follow.
    reader.feed(encodeFrame(MessageType::Hello, Hello{}));
    EXPECT_FALSE(reader.next());
}

TEST(Wire, RefusesTooShortLengthAndWrongVersion)
{
    FrameReader shortReader;
    shortReader.feed(std::string_view("\0\0\0\x02\x01\0", 6));
    EXPECT_FALSE(shortReader.next());

    std::string bytes = encodeFrame(MessageType::Hello, Hello{});
    bytes[4] = WireVersion + 1;
    FrameReader versionReader;
    versionReader.feed(std::string_view(bytes).substr(0, 5));
    const auto frame = versionReader.next();
    ASSERT_FALSE(frame);
    EXPECT_NE(frame.error().m_message.find("version 2"), std::string::npos);
}

TEST(Wire, RefusesMalformedPayloads)
{
    const std::string good = packMessage(Hello{ "one", { 1 } });
    ASSERT_TRUE(unpackMessage<Hello>(good));
    const std::string hugeArray("\xdd\xff\xff\xff\xff", 5);
    const std::string deep(100'000, '\x91');
    const std::string bad[] = {
        "",   good.substr(0, good.size() - 1),  good + "x",     std::string("\xc1"), hugeArray,
        deep, packMessage(std::string("text")), packMessage(42)
    };
    for (const std::string &bytes : bad) {
        const auto message = unpackMessage<Hello>(bytes);
        ASSERT_FALSE(message);
        EXPECT_EQ(message.error().m_code, ErrorCode::ProtocolError);
    }
}

TEST(Wire, EveryDamagedByteGivesAValueOrAnError)
{
    const std::string good = packMessage(Hello{ "name", { 1, 1000, 1'000'000 } });
    size_t refused = 0;
    for (size_t i = 0; i < good.size(); ++i) {
        for (int value = 0; value < 256; ++value) {
            std::string bytes = good;
            bytes[i] = static_cast<char>(value);
            refused += unpackMessage<Hello>(bytes) ? 0 : 1;
        }
    }
    EXPECT_GT(refused, 0u);
}

TEST(Wire, DatagramsCarryVersionAndType)
{
    std::string bytes = encodeDatagram(MessageType::Bye, Hello{ "x", {} });
    const auto frame = decodeDatagram(bytes);
    ASSERT_TRUE(frame);
    EXPECT_EQ(frame->type<MessageType>(), MessageType::Bye);
    EXPECT_EQ(decodePayload<Hello>(*frame)->m_name, "x");
    EXPECT_FALSE(decodeDatagram("ab"));
    bytes[0] = 9;
    EXPECT_FALSE(decodeDatagram(bytes));
}

} // namespace
} // namespace stackquay
