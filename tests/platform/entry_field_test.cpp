// Entries whose names and addresses become fields of requests: an entry that cannot be named in a
// field is no endpoint, and no entry adds fields or requests of its writer's choice.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "core/json_fields.h"
#include "deployment.h"

namespace stackquay::platform {
namespace {

using namespace std::string_literals;

struct OddName {
    std::string m_label;
    std::string m_name;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest asks for.
void PrintTo(const OddName &name, std::ostream *out)
{
    *out << name.m_label;
}

const OddName NamesOfNoEndpoint[] = {
    { "AddsAField", "worker-1\r\nX-Added: 1" },
    { "AddsAFieldAfterALineFeed", "worker-1\nX-Added: 1" },
    { "EndsTheHead",
      "worker-1\r\n\r\nGET /added HTTP/1.1\r\nHost: a\r\nX-Expect-Instance: worker-1" },
    { "CarriageReturn", "worker-1\rx" },
    { "Zero", "worker-1\0x"s },
    { "Delete", "worker-1\x7f" },
    { "ControlByte", "worker-1\x01" },
    { "BlankAtEnd", "worker-1 " },
    { "TabAtStart", "\tworker-1" },
    { "LongerThanAHead", std::string(20'000, 'x') },
    { "LongerThanAField", std::string(70'000, 'x') },
};

class EntryFieldTest : public testing::Test
{
protected:
    EntryFieldTest()
    {
        m_deployment.declare(1);
        for (size_t i = 0; i < Workers; ++i)
            m_deployment.addWorker("plain");
    }

    /// An entry that is whole, under @p name, with the address of a sound worker.
    void putEntry(const std::string &name, const std::string &address)
    {
        m_deployment.m_store->put(
            "servers", name,
            fmt::format(R"({{"service":"plain","address":{},"zone":"here","version":"v1",)"
                        R"("slots":8,"state":"ready","coldLeftMs":0,"seq":1}})",
                        Json(address).dump()));
    }

    std::string soundAddress() { return toString(m_deployment.m_workers[0]->address()); }

    void start()
    {
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    /// All of @p requests are served, some at a time so that all endpoints get some, and the
    /// workers run nothing else.
    void expectServed(size_t requests)
    {
        constexpr size_t AtOnce = 10;
        for (auto &worker : m_deployment.m_workers)
            (*worker)->setDelay(Millis(5));
        for (size_t sent = 0; sent < requests; sent += AtOnce) {
            std::vector<std::future<ClientAnswer>> answers;
            for (size_t i = sent; i < std::min(sent + AtOnce, requests); ++i) {
                ClientRequest request = unsafeRequest();
                request.m_id = fmt::format("request-{}", i);
                answers.push_back(m_deployment.begin(request));
            }
            for (auto &answer : answers)
                EXPECT_EQ(answer.get().m_status, 200u);
        }
        for (const auto &worker : m_deployment.m_workers) {
            for (const WorkerRun &run : (**worker).runs()) {
                EXPECT_EQ(run.m_request.m_target, unsafeRequest().m_path);
                EXPECT_EQ(findHeader(run.m_request.m_headers, "X-Added"), "");
            }
        }
        EXPECT_EQ(m_deployment.totalRuns(), requests);
    }

    static constexpr size_t Workers = 2;
    static constexpr size_t Requests = 300; ///< Some of them would go to the odd entry.
    Deployment m_deployment;
};

class EntryFieldNameTest : public EntryFieldTest, public testing::WithParamInterface<OddName>
{ };

TEST_P(EntryFieldNameTest, NamesNoEndpoint)
{
    putEntry(GetParam().m_name, soundAddress());
    start();
    expectServed(Requests);
    EXPECT_EQ(m_deployment.poolSize("plain"), Workers);
}

// The entry comes while requests are served.
TEST_P(EntryFieldNameTest, NamesNoEndpointWhenItComes)
{
    start();
    expectServed(1);
    putEntry(GetParam().m_name, soundAddress());
    m_deployment.addWorker("plain"); // Comes with a later change.
    ASSERT_TRUE(eventually([this] { return m_deployment.poolSize("plain") > Workers; }));
    EXPECT_EQ(m_deployment.poolSize("plain"), Workers + 1);
}

INSTANTIATE_TEST_SUITE_P(Names, EntryFieldNameTest, testing::ValuesIn(NamesOfNoEndpoint),
                         [](const testing::TestParamInfo<OddName> &info) {
                             return info.param.m_label;
                         });

// Blanks inside and letters beyond ASCII can be sent: such a worker serves.
TEST_F(EntryFieldTest, OddNameOfAWorkerIsSent)
{
    for (const char *name : { "w x", "w\xc3\xbc", "w,x;y=\"z\"" }) {
        HostedWorker worker{ std::string(name) };
        m_deployment.describe(worker, "plain");
        const std::string first = m_deployment.m_workers[0]->operator->()->id();
        const std::string second = m_deployment.m_workers[1]->operator->()->id();
        m_deployment.m_store->remove("servers", first);
        m_deployment.m_store->remove("servers", second);
        m_deployment.m_daemons.clear();
        m_deployment.addDaemon();
        ASSERT_TRUE(eventually([this] { return m_deployment.poolSize("plain") == 1; })) << name;
        ASSERT_TRUE(eventually([this] { return m_deployment.readyStatus() == 200; }));
        EXPECT_EQ(m_deployment.call(unsafeRequest()).m_status, 200u) << name;
        m_deployment.m_store->remove("servers", name);
    }
}

// IP addresses may name an interface, in any characters.
TEST_F(EntryFieldTest, AddressWithAnInterfaceNamesNoEndpoint)
{
    putEntry("odd-1", "fe80::1%\r\nX-Added: 1\r\nX-More:80");
    putEntry("odd-2", "fe80::1%eth0:80");
    start();
    expectServed(Requests);
    EXPECT_EQ(m_deployment.poolSize("plain"), Workers);
}

Result<EndpointRecord> decodeOddly(const KindObject &object)
{
    auto endpoint = relaySource().m_decodeEndpoint(object);
    if (endpoint && object.m_name == "odd")
        endpoint->m_id = EndpointId("worker-1\r\nX-Added: 1");
    return endpoint;
}

// Another VM, of an earlier version, may pass on what this one would not accept.
TEST_F(EntryFieldTest, EndpointThatCannotBeNamedGetsNothing)
{
    RelaySource source = relaySource();
    source.m_decodeEndpoint = decodeOddly;
    m_deployment.m_source = &source;
    putEntry("odd", soundAddress());
    start();
    EXPECT_EQ(m_deployment.poolSize("plain"), Workers + 1);
    expectServed(Requests);
    m_deployment.m_daemons.clear();
}

// The name of a customer is sent to endpoints too. Its requests are refused at once, and those of
// others are served by endpoints that have done nothing wrong.
TEST_F(EntryFieldTest, CustomerThatCannotBeNamedTakesNothingFromOthers)
{
    constexpr Millis Promptly{ 500 };
    constexpr size_t CustomerRequests = 30;
    for (const char *name : { R"(a\r\nX-Added: 1)", R"(a\u0000)", R"(a\u007f)" }) {
        const std::string config = fmt::format(
            R"({{"version":2,"routes":[{{"name":"unsafe","host":"host.example",)"
            R"("pathPrefix":"/unsafe/","kind":"unsafe","timeoutMs":2500,"maxAttempts":2,)"
            R"("service":"plain"}}],"services":[{{"name":"plain","maxConns":100}}],)"
            R"("tenants":[{{"name":"{}","apiKeys":["key-of-two"]}},)"
            R"({{"name":"one","apiKeys":["key-of-one"]}}]}})",
            name);
        m_deployment.m_store->put("config", "main", config);
        m_deployment.m_daemons.clear();
        start();
        const size_t runs = m_deployment.totalRuns();
        for (size_t i = 0; i < CustomerRequests; ++i) {
            ClientRequest request = unsafeRequest();
            request.m_key = "key-of-two";
            const ClientAnswer answer = m_deployment.call(request);
            EXPECT_EQ(answer.m_status, 503u) << name;
            EXPECT_NE(answer.header("Retry-After"), "");
            EXPECT_LT(answer.m_took, Promptly);
        }
        EXPECT_EQ(m_deployment.totalRuns(), runs);
        for (size_t i = 0; i < CustomerRequests; ++i)
            EXPECT_EQ(m_deployment.call(unsafeRequest()).m_status, 200u);
        EXPECT_EQ(m_deployment.totalRuns(), runs + CustomerRequests);
    }
}

} // namespace
} // namespace stackquay::platform
