/// Endpoints of the native path that stop in the middle of an answer's head and close: their
/// clients get no answer that looks whole.
#include "daemon_fixture.h"

#include "tests/support/raw_endpoint.h"

namespace stackquay {
namespace {

class CutAnswerTest : public DaemonTest
{
protected:
    /// Declares the endpoint as the only one of a service and of a model.
    void start()
    {
        Intent declared = intent();
        Model model;
        model.m_id = ModelId("hint-cut");
        declared.m_models.push_back(model);
        Service service;
        service.m_id = ServiceId("cut-desk");
        service.m_repeatable = false;
        declared.m_services.push_back(service);
        declared.m_endpoints.push_back(endpoint("engine-cut", m_endpoint.address()));
        declared.m_endpoints.back().m_models = { model.m_id };
        declared.m_endpoints.push_back(endpoint("service-cut", m_endpoint.address()));
        declared.m_endpoints.back().m_kind = EndpointKind::Service;
        declared.m_endpoints.back().m_service = service.m_id;
        declare(declared);
        m_daemon = &startDaemon("vm-1");
        awaitView(*m_daemon, 1);
    }

    RawEndpoint m_endpoint;
    Daemon *m_daemon = nullptr;
};

constexpr const char *Head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Content-Length: 40\r\n\r\n";
constexpr size_t Step = 7; ///< Between the sizes at which heads are cut.

TEST_F(CutAnswerTest, OfAServiceIsNoAnswer)
{
    const std::string head = Head;
    start();
    for (size_t size = 0; size < head.size(); size += Step) {
        m_endpoint.setAnswer(head.substr(0, size), RawEnd::Close);
        const HttpResponse response = call(*m_daemon, "/service/cut-desk/entries", "entry");
        EXPECT_GE(response.m_status, 500u) << size << response.m_body;
    }
}

TEST_F(CutAnswerTest, OfAnEngineIsNoAnswer)
{
    const std::string head = Head;
    start();
    for (const size_t size : { size_t(1), size_t(17), head.size() - 1 }) {
        m_endpoint.setAnswer(head.substr(0, size), RawEnd::Close);
        for (const char *stream : { "true", "false" }) {
            const HttpResponse response =
                call(*m_daemon, "/v1/completions",
                     fmt::format(R"({{"model":"hint-cut","prompt":"a clue","max_tokens":5,)"
                                 R"("stream":{}}})",
                                 stream),
                     { { "Stackquay-Deadline", "1000" } });
            // No answer at all stands for a stream that was cut.
            EXPECT_TRUE(response.m_status == 0 || response.m_status >= 500)
                << size << response.m_body;
        }
    }
}

} // namespace
} // namespace stackquay
