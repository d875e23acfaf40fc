/// Runs a stand-in inside a test process, on a thread of its own.
#pragma once

#include <cstdlib>

#include "net/net.h"

namespace stackquay::standin {

/// A started FiberThread with one stand-in on it, listening on a port from the kernel.
template<typename Standin>
class Hosted
{
public:
    template<typename... Args>
    explicit Hosted(Args &&...args)
        : m_thread("standin")
        , m_standin(m_thread, std::forward<Args>(args)...)
    {
        const auto bound = m_standin.listen(Address{});
        if (!bound) {
            log(LogPart::Standin).critical("Cannot listen. error={}", toString(bound.error()));
            std::abort();
        }
        m_address = *bound;
        m_thread.start();
    }

    ~Hosted()
    {
        m_thread.stop();
        m_thread.join();
    }

    const Address &address() const { return m_address; }
    FiberThread &thread() { return m_thread; }
    Standin *operator->() { return &m_standin; }
    Standin &operator*() { return m_standin; }

private:
    FiberThread m_thread;
    Standin m_standin;
    Address m_address;
};

} // namespace stackquay::standin
