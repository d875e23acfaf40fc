/// Engines whose reports are JSON of another shape: the daemon goes on without them.
#include "daemon_fixture.h"

#include "tests/support/raw_endpoint.h"

namespace stackquay {
namespace {

/// Answers of the faulty engine, to questions of each kind.
constexpr size_t Reports = 6;

class MalformedReportTest : public DaemonTest, public testing::WithParamInterface<std::string>
{
protected:
    /// Declares an engine that answers every question with @p body, for a model of its own.
    void declareFaulty(const std::string &body)
    {
        m_faulty.setAnswer(
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body),
            RawEnd::Close);
        Intent declared = intent();
        Model other;
        other.m_id = ModelId("hint-other");
        declared.m_models.push_back(other);
        declared.m_endpoints.push_back(endpoint("faulty", m_faulty.address()));
        declared.m_endpoints.back().m_models = { other.m_id };
        declare(declared);
    }

    RawEndpoint m_faulty;
};

TEST_P(MalformedReportTest, LeavesTheDaemonServing)
{
    m_policy = RoutingPolicy::LeastReported;
    declareFaulty(GetParam());
    Daemon &daemon = startDaemon("vm-1");
    awaitView(daemon, 1);
    awaitEvent([this] { return m_faulty.requests() >= Reports; });
    EXPECT_EQ(complete(daemon, 5, false).m_status, 200u);
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, MalformedReportTest,
    testing::Values(R"({"running":"x","waiting":[],"memory_used":{},"memory_total":1})",
                    R"({"running":-1,"waiting":0.5,"memory_total":1e300,"age_ms":0})",
                    R"({"running":1,"waiting":1,"prefill_backlog_tokens":1,"memory_used":1,)"
                    R"("memory_total":1,"age_ms":9223372036854775807})",
                    R"({"memory_total":"x","draining":7})", R"({"memory_total":1,"draining":"x"})",
                    R"({"next":"x","events":[]})", R"({"next":1,"events":[7]})",
                    R"({"next":1,"events":[{"block":7,"kind":[]}]})", R"({"next":1,"events":7})",
                    R"({"next":1e300,"events":{"a":1}})"));

} // namespace
} // namespace stackquay
