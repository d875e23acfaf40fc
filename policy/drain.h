/// Which requests a daemon still takes once it has been told to stop.
///
/// The balancer learns with a lag that the VM goes, and clients go on using the connections that
/// they have. Until the balancer has noticed, a request is taken if it is expected to end before
/// the process has to. What comes later comes on open connections, or because too few VMs are left
/// in a data centre: it is taken only if it ends in any case, and else refused at once, as another
/// VM answers it sooner than this one could fail it.
#pragma once

#include "core/core.h"

namespace stackquay {

struct DrainPlan {
    TimePoint m_begunAt{}; ///< When it was told to stop; not set: it was not.
    Duration m_notice{}; ///< From then on: new connections still come from the balancer.
    Duration
        m_linger{}; ///< From then on: open connections are answered, also if nothing is left to do.
    Duration m_grace{}; ///< From then on: what is still in progress is given up.

    bool operator==(const DrainPlan &) const = default;
};

bool isDraining(const DrainPlan &plan);
/// Whether what takes @p expected from now on ends within the grace. True if it is not draining.
bool canEnd(const DrainPlan &plan, TimePoint now, Duration expected);
/// How long a request takes.
struct RequestTime {
    Duration m_expected{};
    Duration m_most = Duration::max(); ///< It is ended after this.
};

/// Whether a request that comes now is to be begun.
bool mayTake(const DrainPlan &plan, TimePoint now, const RequestTime &time);
/// Whether the daemon ends now, with @p inProgress requests.
bool endsNow(const DrainPlan &plan, TimePoint now, size_t inProgress);

} // namespace stackquay
