/// The HTTP calls of one client of the store: rate budget, retries, outage mode, counters.
/// Internal.
#pragma once

#include <array>
#include <atomic>
#include <memory>

#include "net/net.h"
#include "store/call_budget.h"
#include "store/circuit.h"
#include "store/store_client.h"

namespace stackquay {

/// The counters of StoreCounters; the first seven are also the kinds of calls.
enum class StoreCount {
    Gets,
    Puts,
    Removes,
    Lists,
    Watches,
    VmLists,
    Probes,
    Conflicts,
    Throttled,
    Failures,
    UnknownWrites,
    OverBudget,
    FailedFast,
    Outages,
    Last, ///< Number of counters; not a counter.
};

/// A call with its time limits.
struct StoreCall {
    StoreCount m_kind = StoreCount::Gets;
    HttpRequest m_request;
    Duration m_tryTimeout{}; ///< For one try.
    Duration m_callTimeout{}; ///< For all tries and delays together.
};

class StoreChannel : public std::enable_shared_from_this<StoreChannel>
{
public:
    StoreChannel(boost::asio::io_context &context, StoreSettings settings, RandomEngine random);

    /// Sends the call; retries failures that are certain to have written nothing. Returns the
    /// response whatever its status, except 429 and 5xx, which are errors.
    Result<HttpResponse> call(const StoreCall &call);
    /// Stops the background probe.
    void close() { m_closed = true; }
    void count(StoreCount counter);
    StoreCounters counters() const;
    bool outage() const { return m_outage.load(std::memory_order_relaxed); }
    const StoreSettings &settings() const { return m_settings; }

private:
    Status waitForBudget(const StoreCall &call, TimePoint deadline);
    Result<HttpResponse> tryOnce(const StoreCall &call, Duration timeout);
    Result<HttpResponse> exchange(const StoreCall &call, Duration timeout);
    Result<HttpResponse> exchangeWrite(const StoreCall &call, Duration timeout);
    void handleSuccess();
    void handleFailure(const Error &error);
    void probeUntilAvailable();
    bool probeOnce();

    boost::asio::io_context &m_context;
    StoreSettings m_settings;
    RandomEngine m_random;
    HttpPool m_pool;
    CallBudget m_reads;
    CallBudget m_writes;
    CircuitBreaker m_circuitBreaker;
    size_t m_addressIndex = 0; ///< Index of the address in use.
    bool m_closed = false;
    bool m_probing = false;
    std::atomic<bool> m_outage{ false };
    std::array<std::atomic<uint64_t>, size_t(StoreCount::Last)> m_counts{};
};

} // namespace stackquay
