/// Membership of the data centre over UDP, for the control thread.
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

    /// Binds the UDP socket; port 0 takes one from the kernel. A port of 0 in the VM's own m_udp
    /// becomes the bound one. Call once, before the thread starts or on it, and after onChange().
    Result<Address> start(const Address &bind);
    void onChange(ChangeCallback callback);

    /// The present list. Any thread.
    MemberListPtr list() const;

    // Any thread; each takes effect soon after.
    void setSeeds(std::vector<Address> seeds);
    void markLeaving(const VmId &id);
    /// Tells the others that this VM leaves.
    void leave();
    void setIntentRevision(uint64_t revision);
    void addNotice(const EndpointNotice &notice);

private:
    struct Driver;
    std::shared_ptr<Driver> m_driver;
};

} // namespace stackquay
