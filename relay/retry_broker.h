/// This VM's access to the retry budget of the fleet: its own part, or the pool of a holder.
///
/// In a large fleet each VM sends a holder one datagram each RetryDepositPeriod, and one for each
/// retry; the holder answers both. See policy/retry_pool.h for what keeps the sum within the
/// budget.
#pragma once

#include <functional>
#include <unordered_map>
#include <vector>

#include "relay/fleet_link.h"
#include "relay/load_exchange.h"

namespace stackquay {

/// Used on the traffic thread only.
class RetryBroker
{
public:
    /// @p origin identifies this process. @p thread must be stopped before the broker is destroyed.
    RetryBroker(FiberThread &thread, uint64_t origin, LoadExchange &loads,
                std::function<LoadKey()> nextKey);

    void setSettings(const RetryWindowSettings &settings);
    /// Sets the VMs that hold the budget of this data centre and cell, with this VM if it is one.
    void setHolders(const std::vector<RetryHolder> &holders);
    void countArrival(const ServiceId &service, TimePoint now);
    /// Whether spend() is expected to succeed.
    bool hasBudget(const ServiceId &service, RetryPurpose purpose);
    /// Takes one retry out of the budget. Blocks the fiber while a holder is asked.
    bool spend(const ServiceId &service, RetryPurpose purpose);
    void receive(const LoadMessage &message);

private:
    void deposit();
    bool ask(const RetryHolder &holder, const ServiceId &service);
    /// The holder of this VM's part; null if there is none.
    const RetryHolder *ownHolder() const;
    /// Whether this VM's part is in the pool of a holder.
    bool isPooled(TimePoint now) const;
    LoadMessage poolState(const LoadMessage &deposit, TimePoint now);

    FiberThread &m_thread;
    const uint64_t m_origin;
    LoadExchange &m_loads;
    std::function<LoadKey()> m_nextKey;
    RetryWindows m_windows;
    RetryDepositor m_depositor;
    RetryPool m_pool;
    std::vector<RetryHolder> m_holders;
    /// Requests to a holder without an answer yet, and the answers.
    std::unordered_map<uint64_t, std::optional<bool>> m_answers;
    LoadMessage m_poolState; ///< The last one of the own holder.
    TimePoint m_poolStateAt{};
    TimePoint m_deniedAt{};
    bool m_depositing = false; ///< The fiber that deposits runs.
};

} // namespace stackquay
