/// Acquires and renews a lease in a fiber.
#pragma once

#include <boost/asio/io_context.hpp>

#include "store/lease.h"

namespace stackquay {

/// To be used by the fibers of one thread.
class LeaseKeeper
{
public:
    LeaseKeeper(ObjectApi &objects, boost::asio::io_context &context, const LeaseChart &chart,
                LeaseSettings settings);

    /// Acquires and renews the lease until the thread is stopping, or until the lease is released
    /// after release().
    void run();
    /// Gives the lease up at once. run() then writes the release to the store, so that other nodes
    /// need not wait for the lease to expire.
    void release() { m_lease.release(); }
    /// The fencing number to attach to an order sent now; nullopt if the lease is not held.
    std::optional<FencingNumber> fencingNumber() const;
    const Lease &lease() const { return m_lease; }

private:
    ObjectApi &m_objects;
    boost::asio::io_context &m_context;
    std::string m_key;
    Lease m_lease;
};

} // namespace stackquay
