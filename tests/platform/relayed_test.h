/// Fixture of tests whose connections go through a relay with faults.
#pragma once

#include <gtest/gtest.h>

#include "deployment.h"
#include "standin/fault_relay.h"

namespace stackquay::platform {

class RelayedTest : public testing::Test
{
protected:
    RelayedTest()
        : m_relayThread("relay")
        , m_relay(m_relayThread)
    {
        m_relayThread.start();
    }

    ~RelayedTest() override
    {
        m_deployment.m_daemons.clear();
        m_relayThread.stop();
        m_relayThread.join();
    }

    /// Where connections to @p target enter the relay.
    Address relayed(const Address &target)
    {
        std::promise<Address> address;
        m_relayThread.post([&] { address.set_value(*m_relay.addTarget(target)); });
        return address.get_future().get();
    }

    FiberThread m_relayThread;
    standin::FaultRelay m_relay;
    Deployment m_deployment;
};

} // namespace stackquay::platform
