/// Pools the retry budget of a large fleet, in which an equal part for each VM is below one retry.
///
/// The VMs of a data centre and cell deposit their parts with a few holders, and ask a holder
/// before each retry. The sum over the fleet stays within the budget, because in any window a part
/// counts at one place only: a VM deposits with one holder at a time, a holder uses a deposit only
/// while it is valid, and a VM that changes its holder, or has none any more, waits until the
/// former one cannot have used its part within the window. A grant that is lost is spent.
///
/// VMs whose own part allows a retry do not pool it, so that small fleets need no messages.
#pragma once

#include <map>
#include <optional>

#include "policy/retry_window.h"

namespace stackquay {

/// The part of the retry budget that a VM deposits.
struct RetryDeposit {
    double m_slackPart = 0; ///< Retries in a window, for each service.
    std::map<ServiceId, uint32_t> m_requests; ///< Arrivals in the last window, by service.
};

/// Deposits with one VM, and the retries that it granted. State of a holder.
struct RetryPool {
    struct Deposit {
        RetryDeposit m_part;
        TimePoint m_validUntil{};
    };
    std::map<uint64_t, Deposit> m_deposits; ///< By origin of the depositing process.
    std::map<ServiceId, std::deque<TimePoint>> m_granted; ///< Times of grants, oldest first.
};

/// Where a VM deposits its part. State of each VM.
struct RetryDepositor {
    uint64_t m_holder = 0; ///< Origin of the holder's process; zero: none.
    TimePoint m_depositedAt{}; ///< Time of the last deposit.
};

/// How long a deposit is valid, from the time at which the depositor sends it.
constexpr Millis RetryDepositTime{ 4'000 };
/// Deposits are repeated at this period, so that one may be lost.
constexpr Millis RetryDepositPeriod{ 1'500 };
/// Assumed maximum transit time of a deposit. The holder uses it for so much less time.
constexpr Millis RetryDepositTransit{ 500 };

/// Whether the equal part of a VM is below one retry, so that it deposits it.
bool poolsRetries(const RetryWindowSettings &settings);
/// This VM's part, from its own arrivals.
RetryDeposit ownDeposit(RetryWindows &windows, TimePoint now);
/// Whether the VM may deposit with @p holder at @p now; records the deposit if so. Not while a
/// former holder, or the VM itself, may have used the part within the window.
bool mayDeposit(RetryDepositor &depositor, RetryWindows &windows, uint64_t holder, TimePoint now);
/// Whether the VM may use its part itself, because no holder can use it.
bool ownsItsPart(const RetryDepositor &depositor, const RetryWindowSettings &settings,
                 TimePoint now);
/// Records a deposit that arrives at the holder.
void receiveDeposit(RetryPool &pool, uint64_t origin, RetryDeposit part, TimePoint now);
/// How many retries to @p service the pool allows at @p now, beyond those granted.
double remainingRetries(RetryPool &pool, const RetryWindowSettings &settings,
                        const ServiceId &service, TimePoint now);
/// Grants a retry to @p service if the pool allows it.
bool grantRetry(RetryPool &pool, const RetryWindowSettings &settings, const ServiceId &service,
                TimePoint now);

} // namespace stackquay
