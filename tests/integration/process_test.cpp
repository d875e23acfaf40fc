/// The stand-in programs as real processes.
#include <csignal>

#include <gtest/gtest.h>

#include "net/net.h"
#include "tests/support/process.h"

namespace stackquay {
namespace {

std::unique_ptr<Process> startStandin(std::vector<std::string> arguments)
{
    ProcessOptions options;
    options.m_program = "stackquay-standin";
    options.m_arguments = std::move(arguments);
    auto process = Process::start(options);
    return process ? std::move(*process) : nullptr;
}

TEST(ProcessTest, StandinsSayTheirAddressAndEndOnSigterm)
{
    for (const char *name : { "platform", "engine", "service" }) {
        const auto process = startStandin({ name });
        ASSERT_TRUE(process);
        const auto address = process->awaitReady("address");
        ASSERT_TRUE(address) << name << ": " << toString(address.error());
        EXPECT_TRUE(parseAddress(*address));
        process->signal(SIGTERM);
        const auto exit = process->awaitExit();
        ASSERT_TRUE(exit);
        EXPECT_EQ(exit->m_status, 0);
        EXPECT_EQ(exit->m_signal, 0);
    }
}

TEST(ProcessTest, FaultRelayNamesItsTargets)
{
    const auto process =
        startStandin({ "fault", "--target", "127.0.0.1:1", "--udp-target", "127.0.0.1:2" });
    ASSERT_TRUE(process);
    ASSERT_TRUE(process->awaitReady("admin"));
    const auto lines = process->lines();
    ASSERT_EQ(lines.size(), 3u);
    EXPECT_EQ(readyValues(lines[0])["target"], "127.0.0.1:1");
    EXPECT_EQ(readyValues(lines[1])["target"], "127.0.0.1:2");
    process->signal(SIGKILL);
    const auto exit = process->awaitExit();
    ASSERT_TRUE(exit);
    EXPECT_EQ(exit->m_signal, SIGKILL);
}

TEST(ProcessTest, BadUsageAndMissingProgramAreTold)
{
    ProcessOptions options;
    options.m_program = "stackquay-standin";
    options.m_arguments = { "engine", "--memory-tokens", "many" };
    options.m_errorFile = "/dev/null";
    const auto process = Process::start(options);
    ASSERT_TRUE(process);
    EXPECT_EQ((*process)->awaitReady("address").error().m_code, ErrorCode::Unavailable);
    const auto exit = (*process)->awaitExit();
    ASSERT_TRUE(exit);
    EXPECT_EQ(exit->m_status, 2);
    options.m_program = "no-such-program";
    EXPECT_FALSE(Process::start(options));
}

} // namespace
} // namespace stackquay
