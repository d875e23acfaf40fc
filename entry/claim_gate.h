/// Claims of idempotency keys, for traffic threads. The claims themselves live on the control
/// thread.
#pragma once

#include <functional>

#include "store/store.h"

namespace stackquay {

/// Every function may block the calling fiber until its deadline. Set once, before traffic starts.
struct ClaimGate {
    std::function<ClaimResult(const ClaimRequest &)> m_claim;
    std::function<Status(const ClaimHandle &, const std::string &outcome, TimePoint deadline)>
        m_record;
    std::function<Status(const ClaimHandle &, TimePoint deadline)> m_free;
};

/// A gate to @p claims, which lives on @p thread. Both must outlive the gate's use.
ClaimGate makeClaimGate(FiberThread &thread, ClaimStore &claims);

} // namespace stackquay
