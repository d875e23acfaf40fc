/// Acquires and renews a lease in a fiber.
#pragma once

#include <boost/asio/io_context.hpp>

#include "store/lease.h"

namespace stackquay {

/// For fibers of one thread.
class LeaseKeeper
{
public:
    LeaseKeeper(ObjectApi &objects, boost::asio::io_context &context, const LeaseChart &chart,
                LeaseSettings settings);

    /// Runs until the thread stops, or until release() is through.
    void run();
    /// Lets go at once, and tells the others if the store can be reached.
    void release() { m_lease.release(); }
    /// The number to put on an order that goes out now; none if the lease is not held.
    std::optional<FencingNumber> fencingNumber() const;
    const Lease &lease() const { return m_lease; }

private:
    ObjectApi &m_objects;
    boost::asio::io_context &m_context;
    std::string m_key;
    Lease m_lease;
};

} // namespace stackquay
