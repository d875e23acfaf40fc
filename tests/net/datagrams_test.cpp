#include <future>

#include <gtest/gtest.h>

#include "net/net.h"

namespace stackquay {
namespace {

TEST(DatagramTest, ArriveWholeWithTheSendersAddress)
{
    FiberThread thread("test");
    DatagramSocket left(thread);
    DatagramSocket right(thread);
    std::promise<std::pair<Address, std::string>> heard;
    const auto leftAddress = left.listen(Address{}, [](const Address &, std::string_view) {});
    const auto rightAddress =
        right.listen(Address{}, [&](const Address &from, std::string_view bytes) {
            heard.set_value({ from, std::string(bytes) });
        });
    ASSERT_TRUE(leftAddress);
    ASSERT_TRUE(rightAddress);
    thread.start();
    thread.post([&] { EXPECT_TRUE(left.send(*toUdp(*rightAddress), "hello")); });
    const auto [from, bytes] = heard.get_future().get();
    EXPECT_EQ(from, *leftAddress);
    EXPECT_EQ(bytes, "hello");
    thread.stop();
    thread.join();
}

TEST(DatagramTest, AddressInUseIsAnError)
{
    FiberThread thread("test");
    DatagramSocket first(thread);
    DatagramSocket second(thread);
    const auto address = first.listen(Address{}, [](const Address &, std::string_view) {});
    ASSERT_TRUE(address);
    EXPECT_FALSE(second.listen(*address, [](const Address &, std::string_view) {}));
}

} // namespace
} // namespace stackquay
