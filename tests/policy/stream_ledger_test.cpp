#include <gtest/gtest.h>

#include "policy/policy.h"

namespace stackquay {
namespace {

const TimePoint Start = TimePoint{} + Seconds(100);
constexpr uint32_t LongGapMs = 1'000;

AttemptLoad attemptAt(const std::vector<std::string> &endpoints)
{
    AttemptLoad load;
    for (const std::string &endpoint : endpoints)
        load.m_parts.push_back({ EndpointId(endpoint), 100, 1'000 });
    load.m_gapLimitMs = LongGapMs;
    load.m_placedAt = Start;
    load.m_expiresAt = Start + Seconds(10);
    return load;
}

// A restarted endpoint has lost its streams and the memory that they used.
TEST(StreamLedgerTest, RestartedEndpointHasNoLoad)
{
    StreamLedger ledger;
    ledger.place({ 1, 1 }, attemptAt({ "a", "b" }));
    ledger.place({ 1, 2 }, attemptAt({ "b", "a" }));
    ledger.place({ 1, 3 }, attemptAt({ "c" }));
    ledger.forgetEndpoint(EndpointId("a"));
    const EndpointUses uses = ledger.uses(Start);
    EXPECT_EQ(uses.count(EndpointId("a")), 0u);
    EXPECT_EQ(uses.at(EndpointId("b")).m_attempts, 1u);
    EXPECT_EQ(uses.at(EndpointId("b")).m_tokens, 1'000u);
    EXPECT_EQ(uses.at(EndpointId("c")).m_attempts, 1u);
    EXPECT_EQ(ledger.size(), 2u);
}

} // namespace
} // namespace stackquay
