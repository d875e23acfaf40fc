/// Client of the platform's object service for the fibers of one thread.
///
/// Keeps to a budget of calls a second, retries what is surely not written with backoff and full
/// jitter, and goes into outage mode after several failures in a row: calls then fail at once with
/// Unavailable, and a background probe finds the end of the outage.
#pragma once

#include <memory>

#include "net/net.h"
#include "store/backoff.h"
#include "store/objects.h"

namespace stackquay {

struct StoreSettings {
    std::vector<Address> m_addresses; ///< Of the same service; one is used until it fails.
    Duration m_tryTimeout = Seconds(2); ///< For one try of a call.
    Duration m_callTimeout = Seconds(5); ///< For a call with its retries and waits.
    double m_readsPerSecond = 20; ///< Budget of this client; a watch counts as a read.
    double m_writesPerSecond = 10;
    double m_burst = 20; ///< Calls that may go out at once after a quiet time.
    BackoffSettings m_backoff;
    unsigned m_outageAfter = 5; ///< Failures in a row.
    /// Whether a call is tried again here; a caller with a loop of its own wants to see each
    /// failure.
    bool m_retry = true;
    SilenceBounds m_silence; ///< Of the connections.
    /// A kept connection that brings nothing for so long, where the answer does not wait for a
    /// change, is replaced; zero: only one that the system ends.
    Duration m_replaceAfter{ 0 };
    BackoffSettings m_probe{ Millis(500), Seconds(5) };
};

/// Calls since the start, as sent, with retries and probes.
struct StoreCounters {
    uint64_t m_gets = 0;
    uint64_t m_puts = 0;
    uint64_t m_removes = 0;
    uint64_t m_lists = 0;
    uint64_t m_watches = 0;
    uint64_t m_vmLists = 0;
    uint64_t m_probes = 0;
    uint64_t m_conflicts = 0; ///< Conditional writes that lost.
    uint64_t m_throttled = 0; ///< Answers that said that the rate is used up.
    uint64_t m_failures = 0; ///< Tries without a usable answer.
    uint64_t m_unknownWrites = 0; ///< Writes whose answer was lost.
    uint64_t m_overBudget = 0; ///< Calls refused by the client's own budget.
    uint64_t m_failedFast = 0; ///< Calls refused in outage mode.
    uint64_t m_outages = 0;
    bool m_outage = false; ///< In outage mode now.
};

/// A VM as the platform lists it.
struct ListedVm {
    VmId m_id;
    DataCentreId m_dataCentre;
    std::string m_udp; ///< "a.b.c.d:port" for probes.
    std::string m_peer; ///< For calls between VMs.
    std::string m_http; ///< For callers.
    bool m_leaving = false;
};

struct VmList {
    std::vector<ListedVm> m_vms;
    Millis m_age{ 0 }; ///< How old the list is.
};

class StoreChannel;

/// Calls must have returned before it is destroyed.
class StoreClient : public ObjectApi
{
public:
    StoreClient(boost::asio::io_context &context, StoreSettings settings, RandomEngine random);
    ~StoreClient() override;
    StoreClient(const StoreClient &) = delete;
    StoreClient &operator=(const StoreClient &) = delete;

    Result<VersionedObject> get(const std::string &key) override;
    Result<ObjectVersion> put(const std::string &key, const std::string &value,
                              std::optional<ObjectVersion> condition) override;
    Status remove(const std::string &key, std::optional<ObjectVersion> condition) override;
    Result<ObjectList> list(const std::string &prefix) override;
    Result<ObjectEvents> watch(const std::string &prefix, uint64_t from, Duration timeout) override;
    Result<VmList> vms();

    /// Whether the client is in outage mode. Any thread.
    bool outage() const;
    /// Any thread.
    StoreCounters counters() const;

private:
    std::shared_ptr<StoreChannel> m_channel;
};

} // namespace stackquay
