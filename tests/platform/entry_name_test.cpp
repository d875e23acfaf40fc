// Entries of the store under names that another writer chose: whatever characters they hold, the
// lists that contain them are read to their end, and no request carries more than one value of its
// own.

#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "deployment.h"

namespace stackquay::platform {
namespace {

using namespace std::string_literals;

struct OddText {
    std::string m_label;
    std::string m_text;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest asks for.
void PrintTo(const OddText &text, std::ostream *out)
{
    *out << text.m_label;
}

std::string labelOf(const testing::TestParamInfo<OddText> &info)
{
    return info.param.m_label;
}

/// Texts that mean something else in a target, cannot stand there, or decode to another text.
const OddText TargetTexts[] = {
    { "Plain", "x" },
    { "Ampersand", "&x" },
    { "NumberSign", "#x" },
    { "Plus", "+x" },
    { "Percent", "%x" },
    { "PercentAtEnd", "x%" },
    { "EscapeOfALaterName", "%7a" },
    { "EscapeOfAnEscape", "%2541" },
    { "Blank", " x" },
    { "BlankAtEnd", "x " },
    { "Equals", "=x" },
    { "QuestionMark", "?x" },
    { "Slash", "/x" },
    { "DotSegments", "/../.." },
    { "Semicolon", ";x" },
    { "Quote", "\"x" },
    { "Backslash", "\\x" },
    { "Braces", "{x}|^`<>" },
    { "Tab", "\tx" },
    { "LineFeed", "\nx" },
    { "LineBreak", "\r\nx" },
    { "LineOfHead", "x HTTP/1.1\r\nX-Added: 1\r\nX-More:" },
    { "Zero", "\0x"s },
    { "Delete", "\x7fx" },
    { "BeyondAscii", "\xc3\xbc\xed\x95\x9c" },
    { "HighSurrogate", "\xed\xa0\xbdx" },
    { "LowSurrogateAtEnd", "x\xed\xb0\x80" },
    { "Long", std::string(70'000, 'x') },
};

/// One for each way in which a list failed, for the kinds that are listed besides endpoints.
const OddText KindTexts[] = {
    { "Ampersand", "&x" },
    { "EscapeOfALaterName", "%7a" },
    { "LineFeed", "\nx" },
    { "HighSurrogate", "\xed\xa0\xbdx" },
};

/// Written by no endpoint.
constexpr const char *OddSpec = R"({"note":"by another writer"})";
/// Of the calls of three VMs from their start: a list that does not end takes thousands.
constexpr uint64_t MostCallsAtStart = 400;
constexpr size_t Vms = 3;

class EntryNameTest : public testing::Test
{
protected:
    EntryNameTest()
    {
        m_deployment.m_bounds.m_evacuationTime = Millis(5'000);
        m_deployment.declare(1);
        for (size_t i = 0; i < Workers; ++i)
            m_deployment.addWorker("plain");
    }

    /// Entries of @p kind before, between and after others of their kind.
    void putOddEntries(const std::string &kind, const std::string &text)
    {
        for (const char *start : { "", "a", "m", "vm-1", "worker-1", "z" })
            m_deployment.m_store->put(kind, start + text, OddSpec);
    }

    void startVms()
    {
        for (size_t i = 0; i < Vms; ++i)
            m_deployment.addDaemon();
    }

    /// All VMs use all workers.
    void expectServed()
    {
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
        for (size_t vm = 0; vm < Vms; ++vm) {
            EXPECT_EQ(m_deployment.poolSize("plain", vm), Workers);
            for (int i = 0; i < 4; ++i)
                EXPECT_EQ(m_deployment.call({}, vm).m_status, 200u);
        }
    }

    /// All VMs serve though each odd entry of @p kind ends a page, and their lists end.
    void expectServedBehind(const std::string &kind, const std::string &text)
    {
        m_deployment.m_store->setPageSize(1);
        putOddEntries(kind, text);
        startVms();
        expectServed();
        EXPECT_LT(m_deployment.m_store->calls(), MostCallsAtStart);
        EXPECT_EQ(m_deployment.m_store->invalidCalls(), 0u);
    }

    static constexpr size_t Workers = 3;
    Deployment m_deployment;
};

class EntryNameTargetTest : public EntryNameTest, public testing::WithParamInterface<OddText>
{ };

// A list whose next page begins elsewhere than after the last entry does not end, lacks entries, or
// is refused.
TEST_P(EntryNameTargetTest, EndsAPageOfEndpoints)
{
    expectServedBehind("servers", GetParam().m_text);
}

// The same where plus signs are read as in forms.
TEST_P(EntryNameTargetTest, EndsAPageOfAStoreThatDecodesForms)
{
    m_deployment.m_store->setPlusIsBlank(true);
    expectServedBehind("servers", GetParam().m_text);
}

INSTANTIATE_TEST_SUITE_P(Texts, EntryNameTargetTest, testing::ValuesIn(TargetTexts), labelOf);

class EntryKindTest : public EntryNameTest,
                      public testing::WithParamInterface<std::tuple<const char *, OddText>>
{ };

// Callers may be served beside such a list, whose calls use up the rate of the store.
TEST_P(EntryKindTest, ListEnds)
{
    constexpr Seconds Watched{ 2 };
    constexpr uint64_t CallsPerSecond = 4;
    const auto &[kind, odd] = GetParam();
    expectServedBehind(kind, odd.m_text);
    const uint64_t before = m_deployment.m_store->calls();
    std::this_thread::sleep_for(Watched);
    EXPECT_LE(m_deployment.m_store->calls() - before, CallsPerSecond * Watched.count());
}

INSTANTIATE_TEST_SUITE_P(Kinds, EntryKindTest,
                         testing::Combine(testing::Values("config", "stackquay-vms", "evacuations"),
                                          testing::ValuesIn(KindTexts)),
                         [](const testing::TestParamInfo<EntryKindTest::ParamType> &info) {
                             std::string name = std::string(std::get<0>(info.param))
                                                + std::get<1>(info.param).m_label;
                             std::erase(name, '-');
                             return name;
                         });

// Its lines are bounded, and name it once for each of its changes.
TEST_F(EntryNameTest, OddEntryIsNamedInTheLog)
{
    constexpr size_t MostLineBytes = 10'000;
    testing::internal::CaptureStdout();
    openDecisionLog();
    m_deployment.m_store->setPageSize(1);
    putOddEntries("servers", "&x");
    m_deployment.m_store->put("servers", std::string(70'000, 'x'), OddSpec);
    m_deployment.addDaemon();
    const bool ready = m_deployment.awaitReady();
    m_deployment.m_store->compact(); // All is listed again.
    std::this_thread::sleep_for(Seconds(1));
    m_deployment.m_daemons.clear();
    closeDecisionLog();
    std::istringstream log(testing::internal::GetCapturedStdout());
    EXPECT_TRUE(ready);
    size_t named = 0;
    size_t listed = 0;
    for (std::string line; std::getline(log, line);) {
        EXPECT_LT(line.size(), MostLineBytes);
        named += line.find(R"("endpoint not understood","kind":"servers","endpoint":"worker-1&x")")
                         != std::string::npos
                     ? 1
                     : 0;
        listed += line.find("list failed") != std::string::npos ? 1 : 0;
    }
    EXPECT_EQ(named, 1u);
    EXPECT_EQ(listed, 0u);
}

// An entry that evacuates a data centre is found behind one with an odd name.
TEST_F(EntryNameTest, EvacuationBehindAnOddEntryHolds)
{
    m_deployment.m_store->setPageSize(1);
    m_deployment.m_store->put("evacuations", "a&x", "{}");
    m_deployment.m_store->put("evacuations", "b%63", "{}");
    m_deployment.m_store->put("evacuations", "bb", "{}");
    startVms();
    ASSERT_TRUE(m_deployment.awaitReady());
    const DataCentreId behind("bb");
    EXPECT_TRUE(eventually([&] {
        return m_deployment.m_daemons[0]->node().m_view.load()->m_evacuations.m_dataCentres.count(
                   behind)
               == 1;
    }));
}

} // namespace
} // namespace stackquay::platform
