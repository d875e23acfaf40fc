#include "store/lease_keeper.h"

#include <algorithm>

#include "net/net.h"

namespace stackquay {

namespace {

/// Limits the delay until a release is noticed.
constexpr Duration MaxSleep = Millis(200);

} // namespace

LeaseKeeper::LeaseKeeper(ObjectApi &objects, boost::asio::io_context &context,
                         const LeaseChart &chart, LeaseSettings settings)
    : m_objects(objects)
    , m_context(context)
    , m_key(settings.m_key)
    , m_lease(chart, std::move(settings), randomToken())
{ }

void LeaseKeeper::run()
{
    while (!m_lease.released()) {
        const TimePoint now = Clock::now();
        const LeaseStep step = m_lease.next(now);
        switch (step.m_request) {
        case LeaseRequest::Read: {
            const auto object = m_objects.get(m_key);
            m_lease.onRead(Clock::now(), object);
            break;
        }
        case LeaseRequest::Write: {
            const auto version = m_objects.put(m_key, step.m_value, step.m_condition);
            m_lease.onWritten(Clock::now(), version);
            break;
        }
        case LeaseRequest::None:
            if (!sleepFor(m_context,
                          std::clamp<Duration>(step.m_waitUntil - now, Millis(1), MaxSleep)))
                return;
        }
    }
}

std::optional<FencingNumber> LeaseKeeper::fencingNumber() const
{
    return m_lease.fencingNumber(Clock::now());
}

} // namespace stackquay
