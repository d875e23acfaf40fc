#include "relay/load_exchange.h"

#include <gtest/gtest.h>

#include "peers/codec.h"

namespace stackquay {
namespace {

constexpr size_t PacketBytes = 1'200; ///< Not fragmented on any network in use.

std::vector<LoadMessage> messages(size_t count, size_t parts)
{
    std::vector<LoadMessage> all;
    for (size_t i = 0; i < count; ++i) {
        LoadMessage message{ LoadEvent::Placed, { ~0ull, i } };
        for (size_t part = 0; part < parts; ++part)
            message.m_parts.push_back({ EndpointId("i-75648bd6a1"), 1'193.5, 100'000 });
        all.push_back(message);
    }
    return all;
}

/// The sequence numbers in @p datagrams, in order.
std::vector<uint64_t> sequences(const std::vector<std::string> &datagrams)
{
    std::vector<uint64_t> all;
    for (const std::string &datagram : datagrams) {
        EXPECT_LE(datagram.size(), PacketBytes);
        const auto decoded = decodeMessage<std::vector<LoadMessage>>(datagram);
        if (!decoded) {
            ADD_FAILURE() << decoded.error().m_message;
            continue;
        }
        for (const LoadMessage &message : *decoded)
            all.push_back(message.m_key.m_sequence);
    }
    return all;
}

TEST(LoadExchangeTest, PacksManyMessagesIntoFewDatagramsInOrder)
{
    EXPECT_TRUE(packLoads({}).empty());
    const auto datagrams = packLoads(messages(100, 1));
    EXPECT_LE(datagrams.size(), 8u);
    const std::vector<uint64_t> sent = sequences(datagrams);
    ASSERT_EQ(sent.size(), 100u);
    EXPECT_TRUE(std::is_sorted(sent.begin(), sent.end()));
    EXPECT_EQ(sequences(packLoads(messages(20, 17))).size(), 20u);
}

TEST(LoadExchangeTest, LimitsTheDatagramsToOnePeer)
{
    const auto datagrams = packLoads(messages(2'000, 17));
    EXPECT_EQ(datagrams.size(), 16u);
    const std::vector<uint64_t> sent = sequences(datagrams);
    EXPECT_GE(sent.size(), 30u);
    EXPECT_EQ(sent.back(), sent.size() - 1); // The messages after the limit are dropped.
}

} // namespace
} // namespace stackquay
