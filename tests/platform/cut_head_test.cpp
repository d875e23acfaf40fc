// Endpoints and stores that stop in the middle of an answer's head and close: no part of it is
// taken for an answer.

#include <fmt/format.h>

#include "raw_endpoint_test.h"

namespace stackquay::platform {
namespace {

/// Heads of answers, by the ways in which a body is framed.
std::vector<std::string> heads()
{
    return { headWith("Content-Length: 9\r\n\r\n"), headWith("Transfer-Encoding: chunked\r\n\r\n"),
             headWith("Content-Type: text/event-stream\r\nConnection: close\r\n\r\n") };
}

/// Every @p step of the parts of a head that lack at least its last byte, and some of them behind
/// an interim response.
std::vector<std::string> cutHeads(size_t step)
{
    constexpr size_t SmallStep = 2;
    constexpr const char *Interim = "HTTP/1.1 100 Continue\r\n\r\n";
    std::vector<std::string> parts;
    for (const std::string &head : heads()) {
        for (size_t size = 0; size < head.size(); size += step)
            parts.push_back(head.substr(0, size));
        parts.push_back(head.substr(0, head.size() - 1));
        if (step > SmallStep)
            continue;
        for (const size_t size : { size_t(0), size_t(1), size_t(17), head.size() - 1 })
            parts.push_back(Interim + head.substr(0, size));
    }
    return parts;
}

struct CutCase {
    std::string m_label;
    std::string m_service;
    ClientRequest m_request;
    size_t m_mostSends; ///< Of one request.
    size_t m_step; ///< Requests that may be repeated take longer.
    RawEnd m_end;
};

// NOLINTNEXTLINE(readability-identifier-naming): the name that GoogleTest asks for.
void PrintTo(const CutCase &cut, std::ostream *out)
{
    *out << cut.m_label;
}

ClientRequest publicRequest()
{
    ClientRequest request;
    request.m_path = "/public/x";
    request.m_key = "";
    return request;
}

std::vector<CutCase> cutCases()
{
    std::vector<CutCase> cases;
    for (const RawEnd end : { RawEnd::Close, RawEnd::Reset }) {
        const std::string suffix = end == RawEnd::Close ? "Closed" : "Reset";
        cases.push_back({ "Safe" + suffix, "plain", {}, 2, 40, end });
        cases.push_back({ "Unsafe" + suffix, "plain", unsafeRequest(), 1, 1, end });
        cases.push_back({ "Public" + suffix, "plain", publicRequest(), 2, 40, end });
        cases.push_back({ "Stream" + suffix, "model", streamRequest(), 2, 70, end });
        cases.push_back({ "StreamOnce" + suffix, "model", streamRequest("/once/x"), 1, 2, end });
        cases.push_back({ "LongStream" + suffix, "model", streamRequest("/long/x"), 2, 70, end });
    }
    return cases;
}

class CutHeadTest : public RawEndpointTest, public testing::WithParamInterface<CutCase>
{ };

TEST_P(CutHeadTest, IsNoAnswer)
{
    const CutCase &cut = GetParam();
    start(cut.m_service);
    const std::string line = cut.m_request.m_method + " " + cut.m_request.m_path;
    size_t failed = 0;
    const auto parts = cutHeads(cut.m_step);
    for (const std::string &part : parts) {
        m_endpoint.setAnswer(part, cut.m_end);
        const size_t before = m_endpoint.requestsWith(line);
        const ClientAnswer answer = m_deployment.call(cut.m_request);
        const size_t sent = m_endpoint.requestsWith(line) - before;
        ASSERT_LE(sent, cut.m_mostSends) << part;
        // A refusal promises that nothing ran.
        ASSERT_EQ(answer.m_status, sent > 0 ? 502u : 503u) << part;
        ASSERT_EQ(answer.header("X-Response-Seal"), "") << part;
        ASSERT_TRUE(answer.m_whole) << part;
        failed += sent > 0 ? 1 : 0;
    }
    EXPECT_GT(failed, parts.size() / 2);
}

INSTANTIATE_TEST_SUITE_P(Routes, CutHeadTest, testing::ValuesIn(cutCases()),
                         [](const testing::TestParamInfo<CutCase> &info) {
                             return info.param.m_label;
                         });

// A stream is resumed at an endpoint that stops in its head: what came before is no whole answer.
TEST_F(RawEndpointTest, StreamThatIsResumedInACutHeadIsNotWhole)
{
    constexpr size_t MostTries = 40;
    RawEndpoint other;
    m_endpoint.setAnswer(
        headWith("Transfer-Encoding: chunked\r\n\r\n")
            + fmt::format("{:x}\r\n{}\r\n", eventsText(1, 3).size(), eventsText(1, 3)),
        RawEnd::Close);
    start("model");
    HostedWorker &worker = m_deployment.addWorker("model");
    m_deployment.describe(worker, "model", "ready", other.address());
    ASSERT_TRUE(eventually([this] { return m_deployment.poolSize("model") == 2; }));
    size_t resumed = 0;
    const std::string head = heads()[1];
    for (size_t i = 0; i < MostTries; ++i) {
        other.setAnswer(head.substr(0, head.size() * i / MostTries), RawEnd::Close);
        const size_t before = other.requests();
        const ClientAnswer answer = m_deployment.call(streamRequest());
        EXPECT_FALSE(answer.m_status == 200 && answer.m_whole) << i;
        resumed += answer.m_status == 200 && other.requests() > before ? 1 : 0;
    }
    EXPECT_GT(resumed, 0u);
}

/// A client of a store whose answers are bytes.
class CutStoreTest : public testing::Test
{
protected:
    CutStoreTest() { m_thread.start(); }
    ~CutStoreTest() override
    {
        m_thread.stop();
        m_thread.join();
    }

    /// The error of @p call to a store that closes after @p bytes.
    template<typename Call>
    std::optional<ErrorCode> errorOf(const std::string &bytes, Call call)
    {
        m_store.setAnswer(bytes, RawEnd::Close);
        std::promise<std::optional<ErrorCode>> done;
        m_thread.post([&] {
            StoreSettings settings;
            settings.m_addresses = { m_store.address() };
            settings.m_retry = false;
            KindStore store(m_thread.context(), settings, RandomEngine(1), kindDialect());
            const auto result = call(store);
            done.set_value(result ? std::nullopt : std::optional(result.error().m_code));
        });
        return done.get_future().get();
    }

    RawEndpoint m_store;
    FiberThread m_thread{ "client" };
};

TEST_F(CutStoreTest, CutAnswerOfTheStoreIsAnError)
{
    const std::string body = R"({"items":[],"events":[],"morePages":false,"currentRev":7})";
    for (const std::string &framing :
         { std::string("Connection: close"), fmt::format("Content-Length: {}", body.size()) }) {
        const std::string head = headWith(framing + "\r\n\r\n");
        for (size_t size = 0; size < head.size(); ++size) {
            const std::string part = head.substr(0, size);
            EXPECT_EQ(errorOf(part, [](KindStore &store) { return store.list("servers"); }),
                      ErrorCode::Unavailable)
                << part;
            EXPECT_EQ(errorOf(part, [](KindStore &store) { return store.get("config", "main"); }),
                      ErrorCode::Unavailable)
                << part;
            EXPECT_EQ(errorOf(part,
                              [](KindStore &store) {
                                  return store.watch("servers", { 0, 7 }, Millis(100));
                              }),
                      ErrorCode::Unavailable)
                << part;
            EXPECT_EQ(errorOf(part,
                              [](KindStore &store) {
                                  return store.create("vms", { "vm", {}, "{}" });
                              }),
                      ErrorCode::OutcomeUnknown)
                << part;
        }
        EXPECT_EQ(errorOf(head + body, [](KindStore &store) { return store.list("servers"); }),
                  std::nullopt);
        // Without a length, a body may end early and look whole.
        for (size_t size = 0; size < body.size(); ++size)
            EXPECT_TRUE(errorOf(head + body.substr(0, size), [](KindStore &store) {
                return store.list("servers");
            })) << size;
    }
}

} // namespace
} // namespace stackquay::platform
