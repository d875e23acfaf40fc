#include "net/yield.h"

#include <boost/asio/error.hpp>

namespace stackquay::detail {

namespace {

thread_local YieldWait *waits = nullptr;
thread_local bool stopping = false;

} // namespace

YieldWait::YieldWait()
{
    if (stopping) {
        m_done = true;
        m_error = boost::asio::error::operation_aborted;
    }
    m_next = waits;
    if (m_next)
        m_next->m_previous = this;
    waits = this;
}

YieldWait::~YieldWait()
{
    if (m_previous)
        m_previous->m_next = m_next;
    else
        waits = m_next;
    if (m_next)
        m_next->m_previous = m_previous;
}

bool YieldWait::mayStart() const
{
    return !m_done;
}

void YieldWait::wait()
{
    if (m_done)
        return;
    m_waiter = boost::fibers::context::active();
    m_waiter->suspend();
}

void YieldWait::complete(boost::system::error_code error)
{
    if (m_done)
        return;
    m_error = error;
    m_done = true;
    if (m_waiter)
        boost::fibers::context::active()->schedule(m_waiter);
}

void YieldWait::stopThread()
{
    stopping = true;
    for (YieldWait *wait = waits; wait; wait = wait->m_next)
        wait->complete(boost::asio::error::operation_aborted);
}

bool YieldWait::threadStopping()
{
    return stopping;
}

} // namespace stackquay::detail
