#include "entry/claim_gate.h"

namespace stackquay {

namespace {

Status flatten(Result<Status> result)
{
    if (!result)
        return tl::unexpected(result.error());
    return *result;
}

} // namespace

ClaimGate makeClaimGate(FiberThread &thread, ClaimStore &claims)
{
    ClaimGate gate;
    gate.m_claim = [&thread, &claims](const ClaimRequest &request) {
        const auto result =
            runOn<ClaimResult>(thread, [&claims, request] { return claims.claim(request); });
        if (result)
            return *result;
        ClaimResult refused;
        refused.m_error = result.error();
        return refused;
    };
    gate.m_record = [&thread, &claims](const ClaimHandle &handle, const std::string &outcome,
                                       TimePoint deadline) {
        return flatten(runOn<Status>(thread, [&claims, handle, outcome, deadline] {
            return claims.record(handle, outcome, deadline);
        }));
    };
    gate.m_free = [&thread, &claims](const ClaimHandle &handle, TimePoint deadline) {
        return flatten(runOn<Status>(
            thread, [&claims, handle, deadline] { return claims.free(handle, deadline); }));
    };
    return gate;
}

} // namespace stackquay
