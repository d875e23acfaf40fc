/// Runs the membership protocol of a data centre over UDP on the control thread.
#pragma once

#include <atomic>
#include <functional>

#include "peers/membership_state.h"
#include "peers/traffic.h"

namespace stackquay {

class Membership
{
public:
    /// Called on the control thread after every change of the list.
    using ChangeCallback = std::function<void(const MemberListPtr &)>;

    /// @p thread must be stopped before the membership is destroyed, and outlive it.
    Membership(FiberThread &thread, VmInfo self, MembershipOptions options = {},
               std::shared_ptr<PeerTraffic> traffic = nullptr);
    ~Membership();
    Membership(const Membership &) = delete;
    Membership &operator=(const Membership &) = delete;

    /// Binds the UDP socket; with port 0 the kernel chooses one. A port of 0 in the VM's own m_udp
    /// becomes the bound one. Call once, before the thread starts or on it, and after onChange().
    Result<Address> start(const Address &bind);
    void onChange(ChangeCallback callback);

    /// The current list, never null. Any thread.
    MemberListPtr list() const;

    // Callable on any thread; each takes effect asynchronously on the control thread.
    void setSeeds(std::vector<Address> seeds);
    void markLeaving(const VmId &id);
    /// Announces to the other VMs that this VM is leaving.
    void leave();
    void setIntentRevision(uint64_t revision);
    void addNotice(const EndpointNotice &notice);

private:
    struct Driver;
    std::shared_ptr<Driver> m_driver;
};

} // namespace stackquay
