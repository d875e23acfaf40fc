/// Decides which requests a draining daemon still accepts, and when it exits.
///
/// The load balancer notices a drain only after a delay, and clients continue to use their open
/// connections. Until the balancer has noticed, a request is accepted if it is expected to finish
/// within the grace period. Later requests arrive on open connections, or because too few VMs are
/// left in a data centre. They are accepted only if even their longest duration ends within the
/// grace period; others are refused at once, so that the client retries on another VM instead of
/// waiting for a failure here.
#pragma once

#include "core/core.h"

namespace stackquay {

struct DrainPlan {
    TimePoint m_drainStartedAt{}; ///< When the drain started; TimePoint{}: not draining.
    /// Time from the start of the drain until the balancer stops sending new connections.
    Duration m_balancerNotice{};
    /// Min time from the start of the drain to exit, to answer requests on open connections.
    Duration m_linger{};
    /// Time from the start of the drain after which requests in progress are aborted.
    Duration m_grace{};

    bool operator==(const DrainPlan &) const = default;
};

bool isDraining(const DrainPlan &plan);
/// Whether work that takes @p expected from now ends within the grace period. Always true if the
/// daemon is not draining.
bool canFinishInGrace(const DrainPlan &plan, TimePoint now, Duration expected);
/// How long a request takes.
struct RequestDuration {
    Duration m_expected{};
    Duration m_max = Duration::max(); ///< The request is aborted after this.
};

/// Whether to accept a request that arrives now.
bool mayAccept(const DrainPlan &plan, TimePoint now, const RequestDuration &time);
/// Whether the draining daemon exits now, given @p inProgress requests.
bool shouldExit(const DrainPlan &plan, TimePoint now, size_t inProgress);

} // namespace stackquay
