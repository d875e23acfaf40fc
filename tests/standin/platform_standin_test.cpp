#include "client.h"

namespace stackquay::standin {
namespace {

class PlatformStandinTest : public testing::Test
{
protected:
    void host(PlatformSettings settings = {})
    {
        m_platform = std::make_unique<Hosted<PlatformStandin>>(settings);
    }

    Result<HttpResponse> get(const std::string &target)
    {
        return m_client.call(m_platform->address(), { "GET", target, {}, "" });
    }

    Result<HttpResponse> write(const std::string &method, const std::string &key,
                               const std::string &version, const std::string &value = "")
    {
        HttpHeaders headers;
        if (!version.empty())
            headers.push_back({ "If-Version", version });
        return m_client.call(m_platform->address(), { method, "/objects/" + key, headers, value });
    }

    Result<HttpResponse> fault(const Json &body)
    {
        return m_client.call(m_platform->address(), { "POST", "/admin/fault", {}, body.dump() });
    }

    std::unique_ptr<Hosted<PlatformStandin>> m_platform;
    Client m_client;
};

TEST_F(PlatformStandinTest, WritesOnlyUnderTheNamedVersion)
{
    host();
    EXPECT_EQ(jsonOf(write("PUT", "a/b", "0", "one"))["version"], 1);
    const auto conflict = write("PUT", "a/b", "0", "two");
    EXPECT_EQ(statusOf(conflict), 409u);
    EXPECT_EQ(jsonOf(conflict)["version"], 1);
    EXPECT_EQ(jsonOf(write("PUT", "a/b", "1", "two"))["version"], 2);
    EXPECT_EQ(jsonOf(write("PUT", "a/b", "", "three"))["version"], 3);
    const auto read = get("/objects/a/b");
    ASSERT_TRUE(read);
    EXPECT_EQ(read->m_body, "three");
    EXPECT_EQ(findHeader(read->m_headers, "Object-Version"), "3");
    EXPECT_EQ(statusOf(write("DELETE", "a/b", "2")), 409u);
    EXPECT_EQ(statusOf(write("DELETE", "a/b", "3")), 200u);
    EXPECT_EQ(statusOf(write("DELETE", "a/b", "3")), 404u);
    EXPECT_EQ(statusOf(get("/objects/a/b")), 404u);
    EXPECT_EQ(statusOf(write("PUT", "a//b", "0", "x")), 400u);
    EXPECT_EQ(statusOf(write("PUT", "big", "0", std::string(1024 * 1024 + 1, 'x'))), 413u);
}

TEST_F(PlatformStandinTest, LostAnswerHidesAnAppliedWrite)
{
    host();
    ASSERT_EQ(statusOf(fault({ { "mode", "lose_answer" }, { "count", 1 } })), 200u);
    EXPECT_FALSE(write("PUT", "k", "0", "v"));
    EXPECT_EQ((*m_platform)->object("k")->m_value, "v");
    EXPECT_EQ(statusOf(write("PUT", "k", "1", "w")), 200u);
}

TEST_F(PlatformStandinTest, LostRequestWasNotApplied)
{
    host();
    fault({ { "mode", "lose_request" } });
    EXPECT_FALSE(write("PUT", "k", "0", "v"));
    EXPECT_FALSE((*m_platform)->object("k"));
}

TEST_F(PlatformStandinTest, WatchWaitsAndResumes)
{
    host();
    auto waiting =
        m_client.start(m_platform->address(), { "GET", "/watch?prefix=a/&from=0", {}, "" });
    write("PUT", "b/other", "0", "x");
    write("PUT", "a/one", "0", "x");
    const Json first = jsonOf(waiting.get());
    ASSERT_EQ(first["events"].size(), 1u);
    EXPECT_EQ(first["events"][0]["key"], "a/one");
    write("DELETE", "a/one", "1");
    const std::string from = std::to_string(first["sequence"].get<int>());
    const Json second = jsonOf(get("/watch?prefix=a/&from=" + from));
    ASSERT_EQ(second["events"].size(), 1u);
    EXPECT_EQ(second["events"][0]["deleted"], true);
    const std::string last = std::to_string(second["sequence"].get<int>());
    const Json none = jsonOf(get("/watch?prefix=a/&timeout_ms=1&from=" + last));
    EXPECT_TRUE(none["events"].empty());
    EXPECT_EQ(none["sequence"], second["sequence"]);
}

TEST_F(PlatformStandinTest, WatchFromTooOldIsGone)
{
    PlatformSettings settings;
    settings.m_changesKept = 2;
    host(settings);
    for (const char *key : { "a", "b", "c" })
        write("PUT", key, "0", "x");
    EXPECT_EQ(statusOf(get("/watch?prefix=&from=0")), 410u);
    EXPECT_EQ(statusOf(get("/watch?prefix=&from=1")), 200u);
    EXPECT_EQ(statusOf(get("/watch?prefix=&from=9")), 410u);
    EXPECT_EQ(jsonOf(get("/list?prefix="))["sequence"], 3);
    (*m_platform)->compact();
    EXPECT_EQ(statusOf(get("/watch?prefix=&from=2")), 410u);
}

TEST_F(PlatformStandinTest, RatesRefuseReadsAndWritesApart)
{
    // So slow that no token comes back while the test runs.
    PlatformSettings settings;
    settings.m_readsPerSecond = 1e-6;
    settings.m_writesPerSecond = 1e-6;
    host(settings);
    EXPECT_EQ(statusOf(get("/list?prefix=")), 200u);
    EXPECT_EQ(statusOf(get("/list?prefix=")), 429u);
    EXPECT_EQ(statusOf(write("PUT", "k", "0", "v")), 200u);
    EXPECT_EQ(statusOf(write("PUT", "k", "1", "v")), 429u);
    EXPECT_EQ(jsonOf(get("/admin/stats"))["refused"], 2);
}

TEST_F(PlatformStandinTest, DownRefusesAlsoWaitingWatches)
{
    host();
    auto waiting =
        m_client.start(m_platform->address(), { "GET", "/watch?prefix=&from=0", {}, "" });
    while ((*m_platform)->stats().m_watches == 0)
        std::this_thread::yield();
    fault({ { "mode", "down" } });
    EXPECT_EQ(statusOf(waiting.get()), 503u);
    EXPECT_EQ(statusOf(get("/list?prefix=")), 503u);
    fault({ { "mode", "cut" } });
    EXPECT_FALSE(get("/list?prefix="));
    fault({ { "mode", "ok" } });
    EXPECT_EQ(statusOf(get("/list?prefix=")), 200u);
    EXPECT_EQ(statusOf(fault({ { "mode", "nonsense" } })), 400u);
}

TEST_F(PlatformStandinTest, VmListLags)
{
    PlatformSettings settings;
    settings.m_vmsLag = std::chrono::hours(1);
    host(settings);
    (*m_platform)->setVms({ { { "id", "vm-1" } } });
    (*m_platform)->setVms({ { { "id", "vm-2" } } });
    EXPECT_EQ(jsonOf(get("/vms"))["vms"][0]["id"], "vm-1");
    (*m_platform)->setVmsLag(Millis(0));
    EXPECT_EQ(jsonOf(get("/vms"))["vms"][0]["id"], "vm-2");
}

} // namespace
} // namespace stackquay::standin
