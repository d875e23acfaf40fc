/// Access of traffic threads to claims of idempotency keys. The claim store itself runs on the
/// control thread.
#pragma once

#include <functional>

#include "store/store.h"

namespace stackquay {

/// Each function may block the calling fiber until the deadline. Set once, before traffic starts.
struct ClaimGate {
    /// Claims an idempotency key for one call.
    std::function<ClaimResult(const ClaimRequest &)> m_claim;
    /// Stores the encoded outcome of a claimed call, which later calls with the same key get.
    std::function<Status(const ClaimHandle &, const std::string &outcome, TimePoint deadline)>
        m_record;
    /// Releases a claim whose call did not run, so that the key can be claimed again.
    std::function<Status(const ClaimHandle &, TimePoint deadline)> m_free;
};

/// Returns a gate that forwards to @p claims on @p thread. Both must outlive the gate.
ClaimGate makeClaimGate(FiberThread &thread, ClaimStore &claims);

} // namespace stackquay
