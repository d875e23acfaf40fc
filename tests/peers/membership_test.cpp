#include <condition_variable>
#include <mutex>

#include <gtest/gtest.h>

#include "peers/peers.h"

namespace stackquay {
namespace {

/// A membership on its own thread; tests can wait for its changes.
class RunningVm
{
public:
    explicit RunningVm(const std::string &id)
        : m_thread(id)
    {
        VmInfo self;
        self.m_id = VmId(id);
        self.m_incarnation = 1;
        self.m_dataCentre = DataCentreId("dc");
        m_membership = std::make_unique<Membership>(m_thread, self, fastOptions(), m_traffic);
        m_membership->onChange([this](const MemberListPtr &list) {
            const std::lock_guard lock(m_mutex);
            m_list = list;
            m_changed.notify_all();
        });
        m_address = *m_membership->start(Address{});
        m_thread.start();
    }

    ~RunningVm() { stop(); }

    void stop()
    {
        m_thread.stop();
        m_thread.join();
    }

    /// Waits for a list that satisfies @p condition.
    void await(const std::function<bool(const MemberList &)> &condition)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_list && condition(*m_list); });
    }

    FiberThread m_thread;
    std::shared_ptr<PeerTraffic> m_traffic = std::make_shared<PeerTraffic>();
    std::unique_ptr<Membership> m_membership;
    Address m_address;

private:
    static MembershipOptions fastOptions()
    {
        MembershipOptions options;
        options.m_probePeriod = Millis(30);
        return options;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    MemberListPtr m_list;
};

bool sees(const MemberList &list, const std::string &id, VmState state)
{
    const VmInfo *vm = list.find(VmId(id));
    return vm && vm->m_state == state;
}

TEST(MembershipTest, VmsMeetOverRealSocketsAndSeeLeavingAndDeath)
{
    RunningVm first("vm-1");
    RunningVm second("vm-2");
    RunningVm third("vm-3");
    second.m_membership->setSeeds({ first.m_address });
    third.m_membership->setSeeds({ first.m_address });
    for (RunningVm *vm : { &first, &second, &third })
        vm->await([](const MemberList &list) { return list.m_vms.size() == 3; });

    const EndpointNotice notice{ EndpointId("engine-1"), NoticeKind::Leaving, true, 1 };
    second.m_membership->addNotice(notice);
    second.m_membership->setIntentRevision(12);
    third.await([&](const MemberList &list) {
        return list.m_notices == std::vector{ notice } && list.m_highestRevision == 12;
    });

    third.m_membership->leave();
    first.await([](const MemberList &list) { return sees(list, "vm-3", VmState::Leaving); });
    third.stop();
    first.await([](const MemberList &list) { return !list.find(VmId("vm-3")); });
    second.await([](const MemberList &list) { return !list.find(VmId("vm-3")); });
    EXPECT_GT(first.m_traffic->m_datagramBytesIn, 0u);
    EXPECT_GT(first.m_traffic->m_datagramBytesOut, 0u);
    EXPECT_EQ(first.m_traffic->m_datagramsRejected, 0u);
}

} // namespace
} // namespace stackquay
