// VMs that are cut off from all endpoints, while clients, the store and the other VMs reach them.

#include "relayed_test.h"

namespace stackquay::platform {
namespace {

/// The addresses by which the VM that will be cut off knows the endpoints: those of the relay.
std::map<std::string, std::string> &detours()
{
    static std::map<std::string, std::string> addresses;
    return addresses;
}

Result<EndpointRecord> decodeDetour(const KindObject &object)
{
    auto endpoint = relaySource().m_decodeEndpoint(object);
    const auto detour = endpoint ? detours().find(endpoint->m_address) : detours().end();
    if (detour != detours().end())
        endpoint->m_address = detour->second;
    return endpoint;
}

class IsolatedVmTest : public RelayedTest
{
protected:
    IsolatedVmTest() { detours().clear(); }
    ~IsolatedVmTest() override { m_deployment.m_daemons.clear(); }

    /// Daemon 0 reaches the endpoints through the relay, the others directly.
    void start(size_t daemons)
    {
        m_deployment.declare(1);
        for (const char *service : { "model", "model", "model", "plain", "plain", "plain" })
            addWorker(service);
        m_detouring.m_decodeEndpoint = decodeDetour;
        for (size_t i = 0; i < daemons; ++i) {
            m_deployment.m_dataCentre = "zone-" + std::to_string(i);
            m_deployment.m_source = i == 0 ? &m_detouring : nullptr;
            m_deployment.addDaemon();
        }
        ASSERT_TRUE(m_deployment.awaitReady());
        ASSERT_TRUE(m_deployment.awaitPeers());
        // Each VM follows the store itself, and takes the change in its own way.
        ASSERT_TRUE(eventually([this] { return m_deployment.m_daemons.size() == 1 || allFollow(); }));
        for (const auto &worker : m_deployment.m_workers)
            m_deployment.describe(*worker, m_services[(*worker)->id()], "ready", std::nullopt, 9);
        ASSERT_TRUE(eventually([this] {
            for (size_t i = 0; i < m_deployment.m_daemons.size(); ++i) {
                if (!hasOwnAddresses(i))
                    return false;
            }
            return true;
        }));
    }

    void addWorker(const std::string &service)
    {
        HostedWorker &worker = m_deployment.addWorker(service);
        m_services[worker->id()] = service;
        detours()[toString(worker.address())] = toString(relayed(worker.address()));
    }

    bool allFollow()
    {
        for (const auto &daemon : m_deployment.m_daemons) {
            if (!daemon->node().m_watchesStore)
                return false;
        }
        return true;
    }

    bool hasOwnAddresses(size_t daemon)
    {
        const auto directory = m_deployment.m_daemons[daemon]->node().m_view.load()->m_directory;
        for (const auto &worker : m_deployment.m_workers) {
            const std::string address = toString(worker->address());
            const auto found = directory->m_endpoints.find(EndpointId((*worker)->id()));
            if (found == directory->m_endpoints.end() || found->second.m_slots != 9
                || found->second.m_address != (daemon == 0 ? detours()[address] : address))
                return false;
        }
        return true;
    }

    void cut(standin::RelayMode mode)
    {
        standin::RelayFault fault;
        fault.m_mode = mode;
        m_relay.setFault(fault);
    }

    /// Sends @p request @p times to the VM that is cut off, one each 30 ms. Returns how many were
    /// served.
    size_t served(const ClientRequest &request, size_t times)
    {
        std::vector<std::future<ClientAnswer>> answers;
        for (size_t i = 0; i < times; ++i) {
            answers.push_back(m_deployment.begin(request, 0));
            std::this_thread::sleep_for(Millis(30));
        }
        size_t served = 0;
        for (auto &answer : answers) {
            const ClientAnswer got = answer.get();
            served += got.m_status == 200 && got.m_whole ? 1 : 0;
        }
        return served;
    }

    RelaySource m_detouring = relaySource();
    std::map<std::string, std::string> m_services; ///< By worker.
};

class IsolatedVmModeTest : public IsolatedVmTest, public testing::WithParamInterface<standin::RelayMode>
{ };

TEST_P(IsolatedVmModeTest, CallersOfAVmThatReachesNoEndpointAreServed)
{
    start(3);
    for (const ClientRequest &request : { ClientRequest{}, unsafeRequest(), streamRequest() })
        ASSERT_EQ(served(request, 5), 5u);
    cut(GetParam());
    // The bound for recovery; what is sent before may fail.
    std::this_thread::sleep_for(Seconds(1));
    served({}, 20);
    std::this_thread::sleep_for(Seconds(1));
    for (const ClientRequest &request : { ClientRequest{}, unsafeRequest(), streamRequest() })
        EXPECT_GE(served(request, 30), 29u) << request.m_path;
}

INSTANTIATE_TEST_SUITE_P(Ways, IsolatedVmModeTest,
                         testing::Values(standin::RelayMode::Cut, standin::RelayMode::Reset));

} // namespace
} // namespace stackquay::platform
