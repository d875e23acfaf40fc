// Lists of a store that answers oddly: a list is read to its end, or it is an error. It is never
// taken for complete before its end, and never goes on without one.

#include <future>
#include <sstream>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/platform.h"
#include "standin/hosted.h"

namespace stackquay::platform {
namespace {

std::string entry(const std::string &nameText)
{
    return fmt::format(R"({{"metadata":{{"name":{},"revision":3}},"spec":{{}}}})", nameText);
}

std::string pageOf(const std::string &items, bool more)
{
    return fmt::format(R"({{"items":{},"morePages":{},"currentRev":7}})", items, more);
}

/// Answers each call with what the test makes of its query.
class ScriptedStore
{
public:
    using Script = std::function<std::string(const HttpRequest &)>;

    ScriptedStore(FiberThread &thread, Script script)
        : m_server(
            thread,
            [this, script = std::move(script)](HttpExchange &exchange) {
                ++m_calls;
                exchange.respond({ 200, {}, script(exchange.request()) });
            },
            HttpServerLimits{ .m_headerBytes = MaxHeadBytes })
    { }

    Result<Address> listen(const Address &address) { return m_server.listen(address); }
    size_t calls() const { return m_calls; }

private:
    static constexpr size_t MaxHeadBytes = 256 * 1024;
    std::atomic<size_t> m_calls{ 0 };
    HttpServer m_server;
};

class KindListTest : public testing::Test
{
protected:
    KindListTest() { m_thread.start(); }
    ~KindListTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    void answer(ScriptedStore::Script script)
    {
        m_server = std::make_unique<standin::Hosted<ScriptedStore>>(std::move(script));
    }

    /// Calls @p call with a client of the store, on its thread.
    template<typename Call>
    auto onClient(Call call)
    {
        std::promise<decltype(call(std::declval<KindStore &>()))> done;
        m_thread.post([&] {
            StoreSettings settings;
            settings.m_addresses = { m_server->address() };
            settings.m_readsPerSecond = settings.m_burst = FreeCalls;
            KindStore store(m_thread.context(), settings, RandomEngine(1), kindDialect());
            done.set_value(call(store));
        });
        return done.get_future().get();
    }

    Result<KindPage> list()
    {
        return onClient([](KindStore &store) { return store.list("servers"); });
    }

    size_t calls() { return (*m_server)->calls(); }

    void expectError()
    {
        const auto page = list();
        ASSERT_FALSE(page) << page->m_objects.size();
        EXPECT_EQ(page.error().m_code, ErrorCode::ProtocolError) << page.error().m_message;
    }

    static constexpr double FreeCalls = 1e6;
    FiberThread m_thread{ "client" };
    std::unique_ptr<standin::Hosted<ScriptedStore>> m_server;
};

TEST_F(KindListTest, PageThatComesAgainIsAnError)
{
    answer([](const HttpRequest &) { return pageOf("[" + entry(R"("a")") + "]", true); });
    expectError();
    EXPECT_LE(calls(), 2u);
}

TEST_F(KindListTest, PagesInACircleAreAnError)
{
    answer([](const HttpRequest &request) {
        const bool first = request.query("sinceRev") != "a";
        return pageOf("[" + entry(first ? R"("a")" : R"("b")") + "]", true);
    });
    expectError();
    EXPECT_LE(calls(), 3u);
}

TEST_F(KindListTest, ListWithoutEndIsAnError)
{
    constexpr size_t MostCalls = 1'000;
    std::atomic<size_t> next{ 0 };
    answer([&next](const HttpRequest &) {
        return pageOf("[" + entry(fmt::format(R"("{:08}")", next++)) + "]", true);
    });
    expectError();
    EXPECT_LE(calls(), MostCalls);
}

// All pages together stay far below the memory of a VM.
TEST_F(KindListTest, ListOfTooManyBytesIsAnError)
{
    constexpr size_t PageBytes = size_t(1) << 20;
    constexpr size_t MostBytes = size_t(64) << 20;
    std::atomic<size_t> next{ 0 };
    const std::string filler(PageBytes, 'x');
    answer([&](const HttpRequest &) {
        const std::string item =
            fmt::format(R"({{"metadata":{{"name":"{:08}"}},"spec":"{}"}})", next++, filler);
        return pageOf("[" + item + "]", true);
    });
    expectError();
    EXPECT_LE(calls(), MostBytes / PageBytes + 1);
}

struct BrokenPage {
    std::string m_label;
    std::string m_body;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest asks for.
void PrintTo(const BrokenPage &page, std::ostream *out)
{
    *out << page.m_label;
}

class BrokenPageTest : public KindListTest, public testing::WithParamInterface<BrokenPage>
{ };

TEST_P(BrokenPageTest, IsNoEnd)
{
    answer([](const HttpRequest &) { return GetParam().m_body; });
    expectError();
    EXPECT_LE(calls(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Pages, BrokenPageTest,
    testing::Values(BrokenPage{ "NoEntriesButMore", pageOf("[]", true) },
                    BrokenPage{ "NamelessEntriesButMore",
                                pageOf(R"([{},{"metadata":{}},7])", true) },
                    BrokenPage{ "ItemsMissing", R"({"morePages":false,"currentRev":7})" },
                    BrokenPage{ "ItemsNoArray", pageOf("{}", false) },
                    BrokenPage{ "ItemsCutShort", pageOf(R"([{"metadata":])", false) }),
    [](const testing::TestParamInfo<BrokenPage> &info) { return info.param.m_label; });

/// The last name of a page, as the store writes it, and the target of the call for the next one.
struct LastName {
    std::string m_label;
    std::string m_text;
    std::string m_encoded;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest asks for.
void PrintTo(const LastName &name, std::ostream *out)
{
    *out << name.m_label;
}

class LastNameTest : public KindListTest, public testing::WithParamInterface<LastName>
{ };

// The next page begins after the last entry of the page, also if that entry is of no use.
TEST_P(LastNameTest, NextPageBeginsAfterIt)
{
    std::vector<std::string> targets;
    answer([&targets](const HttpRequest &request) {
        targets.push_back(request.m_target);
        if (targets.size() == 1)
            return pageOf("[" + entry(GetParam().m_text) + "]", true);
        return pageOf("[" + entry(R"("z")") + "]", false);
    });
    const auto page = list();
    ASSERT_TRUE(page) << page.error().m_message;
    EXPECT_EQ(page->m_objects.back().m_name, "z");
    ASSERT_EQ(targets.size(), 2u);
    EXPECT_EQ(targets[1], "/objects/servers?sinceRev=" + GetParam().m_encoded);
}

INSTANTIATE_TEST_SUITE_P(
    Names, LastNameTest,
    testing::Values(
        LastName{ "Plain", R"("i-7f3a91c2")", "i-7f3a91c2" },
        LastName{ "Unreserved", R"("a-b.c_d~e")", "a-b.c_d~e" },
        LastName{ "Reserved", R"("a&b#c+d%e f/g?h=i;j")", "a%26b%23c%2Bd%25e%20f%2Fg%3Fh%3Di%3Bj" },
        LastName{ "Escaped", R"("\u0041\"\\\/\b\f\n\r\t\u0000")", "A%22%5C%2F%08%0C%0A%0D%09%00" },
        LastName{ "BeyondAscii", R"("\u00fc\ud55c\ud83d\ude00")", "%C3%BC%ED%95%9C%F0%9F%98%80" },
        LastName{ "HighSurrogate", R"("a\ud83d")", "a%ED%A0%BD" },
        LastName{ "LowSurrogate", R"("\udc00a")", "%ED%B0%80a" },
        LastName{ "SurrogatesReversed", R"("\ude00\ud83d")", "%ED%B8%80%ED%A0%BD" },
        LastName{ "NoUtf8", "\"\xff\"", "%FF" },
        LastName{ "Long", '"' + std::string(70'000, 'x') + '"', std::string(70'000, 'x') }),
    [](const testing::TestParamInfo<LastName> &info) { return info.param.m_label; });

// Some stores refuse long targets, and names that are no Unicode: where another name says where to
// go on, it is used instead. No object is left out or returned twice.
TEST_F(KindListTest, GoesOnAfterTheLastNameThatStoresAccept)
{
    const std::string longName = "b" + std::string(70'000, 'x');
    const std::string odd =
        entry('"' + longName + '"') + "," + entry(R"("b\ud83d")") + "," + entry("7");
    std::vector<std::string> targets;
    answer([&](const HttpRequest &request) {
        targets.push_back(request.m_target);
        if (targets.size() == 1)
            return pageOf("[" + entry(R"("a")") + "," + odd + "]", true);
        return pageOf("[" + odd + "," + entry(R"("c")") + "]", false);
    });
    const auto page = list();
    ASSERT_TRUE(page) << page.error().m_message;
    ASSERT_EQ(targets.size(), 2u);
    EXPECT_EQ(targets[1], "/objects/servers?sinceRev=a");
    std::vector<std::string> names;
    for (const KindObject &object : page->m_objects)
        names.push_back(object.m_name);
    EXPECT_EQ(names, (std::vector<std::string>{ "a", longName, "c" }));
}

class ListLogTest : public KindListTest
{
protected:
    /// The lines that @p calls of list() write.
    std::vector<std::string> linesOf(size_t calls)
    {
        testing::internal::CaptureStdout();
        openDecisionLog();
        onClient([calls](KindStore &store) {
            for (size_t i = 0; i < calls; ++i)
                (void)store.list("servers");
            return true;
        });
        closeDecisionLog();
        std::istringstream text(testing::internal::GetCapturedStdout());
        std::vector<std::string> lines;
        for (std::string line; std::getline(text, line);)
            lines.push_back(line);
        return lines;
    }

    static constexpr size_t MostLineBytes = 1'000;
};

// Failed lists are retried several times a second.
TEST_F(ListLogTest, FailureAndItsEndAreLoggedOnce)
{
    const std::string last = R"("m&x\n)" + std::string(70'000, 'x') + '"';
    answer([&, calls = 0](const HttpRequest &) mutable {
        constexpr int Failures = 8;
        return pageOf("[" + entry(last) + "]", ++calls <= Failures);
    });
    const auto lines = linesOf(6);
    ASSERT_EQ(lines.size(), 2u);
    EXPECT_NE(lines[0].find(R"("event":"list failed","kind":"servers","after":"m%26x%0Axxx)"),
              std::string::npos)
        << lines[0];
    EXPECT_LT(lines[0].size(), MostLineBytes);
    EXPECT_NE(lines[1].find(R"("event":"list succeeded again","kind":"servers")"),
              std::string::npos)
        << lines[1];
}

TEST_F(ListLogTest, ObjectThatIsLeftOutIsLoggedOnce)
{
    answer([](const HttpRequest &) {
        return pageOf("[" + entry(R"("a")") + "," + entry(R"("odd\ud83d")") + "]", false);
    });
    const auto lines = linesOf(3);
    ASSERT_EQ(lines.size(), 1u);
    EXPECT_NE(lines[0].find(R"("kind":"servers","object":"odd%ED%A0%BD")"), std::string::npos)
        << lines[0];
}

// Events that cannot be read are not the same as none: the watch would go on behind them.
TEST_F(KindListTest, EventsThatAreNoArrayAreAnError)
{
    for (const char *events : { "{}", "7", R"([{"object":])" }) {
        answer([events](const HttpRequest &) {
            return fmt::format(R"({{"events":{},"currentRev":9}})", events);
        });
        const auto read = onClient([](KindStore &store) {
            return store.watch("servers", { 0, 7 }, Millis(100));
        });
        ASSERT_FALSE(read) << events;
        EXPECT_EQ(read.error().m_code, ErrorCode::ProtocolError);
    }
}

} // namespace
} // namespace stackquay::platform
