/// Fixture of tests whose endpoint sends the bytes that it is told to.
#pragma once

#include <gtest/gtest.h>

#include "deployment.h"
#include "tests/support/raw_endpoint.h"

namespace stackquay::platform {

/// The start of an endpoint's own answer to the request "request-1"; the head goes on with
/// @p fields.
inline std::string headWith(const std::string &fields, const std::string &status = "200 OK")
{
    return "HTTP/1.1 " + status + "\r\nX-Request-Id: request-1\r\nX-Response-Seal: seal\r\n"
           + fields;
}

class RawEndpointTest : public testing::Test
{
protected:
    /// One daemon, and the endpoint as the only one of @p service.
    void start(const std::string &service)
    {
        m_deployment.declare(1);
        m_deployment.describe(m_deployment.addWorker(service), service, "ready",
                              m_endpoint.address());
        m_deployment.addDaemon();
        ASSERT_TRUE(m_deployment.awaitReady());
    }

    void addSoundEndpoint(const std::string &service)
    {
        m_deployment.addWorker(service);
        ASSERT_TRUE(eventually([&] { return m_deployment.poolSize(service) == 2; }));
    }

    /// A request that may run once got a 502 of the daemon's own, without waiting for its deadline.
    void expectFailed(const ClientAnswer &answer) const
    {
        constexpr Millis Promptly{ 1'000 };
        EXPECT_EQ(answer.m_status, 502u);
        EXPECT_EQ(answer.header("X-Response-Seal"), "");
        EXPECT_TRUE(answer.m_whole);
        EXPECT_LT(answer.m_took, Promptly);
        EXPECT_EQ(m_endpoint.requests(), 1u);
    }

    Deployment m_deployment;
    RawEndpoint m_endpoint;
};

} // namespace stackquay::platform
