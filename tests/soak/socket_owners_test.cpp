#include <gtest/gtest.h>
#include <unistd.h>

#include "net/net.h"
#include "platform/standin/worker_standin.h"
#include "standin/hosted.h"
#include "tests/soak/socket_owners.h"

namespace stackquay::soak {
namespace {

// If a connection's process is not found, no link between one VM and one worker is disturbed.
TEST(SocketOwnersTest, FindsTheProcessOfAConnection)
{
    standin::Hosted<platform::WorkerStandin> worker{ "worker-1" };
    FiberThread thread("client");
    thread.start();
    SocketOwners owners;
    std::promise<std::pair<std::optional<size_t>, std::optional<size_t>>> found;
    thread.post([&] {
        HttpConnection connection(thread.context());
        EXPECT_TRUE(connection.connect(worker.address(), Seconds(1)));
        const uint16_t from = connection.localPort();
        const auto before = owners.ownerOf(from, worker.address().m_port);
        owners.set(7, getpid());
        found.set_value({ before, owners.ownerOf(from, worker.address().m_port) });
    });
    const auto [before, after] = found.get_future().get();
    EXPECT_EQ(before, std::nullopt);
    EXPECT_EQ(after, std::optional<size_t>(7));
    EXPECT_EQ(owners.ownerOf(1, worker.address().m_port), std::nullopt);
    thread.stop();
    thread.join();
}

} // namespace
} // namespace stackquay::soak
