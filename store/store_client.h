/// Client of the platform's object store, to be used by the fibers of one thread.
///
/// It limits its calls per second, and retries calls that are certain to have written nothing, with
/// exponential backoff and full jitter. After several failures in a row it enters outage mode:
/// calls fail at once with Unavailable, and a background probe detects the end of the outage.
#pragma once

#include <memory>

#include "net/net.h"
#include "store/backoff.h"
#include "store/objects.h"

namespace stackquay {

struct StoreSettings {
    std::vector<Address> m_addresses; ///< Of one store; an address is used until it fails.
    Duration m_tryTimeout = Seconds(2); ///< For one try of a call.
    Duration m_callTimeout = Seconds(5); ///< For a call with all its retries and delays.
    double m_readsPerSecond = 20; ///< Rate limit of this client; a watch is a read.
    double m_writesPerSecond = 10; ///< Rate limit of this client.
    double m_burst = 20; ///< Most calls that can be sent at once after an idle period.
    BackoffSettings m_backoff; ///< Between the tries of a call.
    unsigned m_outageFailureThreshold = 5; ///< Failures in a row after which outage mode begins.
    /// Whether the client retries calls. False for callers that have their own retry loop and need
    /// to see each failure.
    bool m_retry = true;
    SilenceBounds m_silence; ///< Limits for connections that receive nothing.
    /// A reused connection is replaced if it delivers nothing for this long during a read other
    /// than a watch. Zero: it is replaced only when the operating system closes it.
    Duration m_replaceAfter{ 0 };
    /// Between the probes in outage mode.
    BackoffSettings m_probe{ Millis(500), Seconds(5) };
};

/// Counters since the start. Calls are counted as sent, including retries.
struct StoreCounters {
    uint64_t m_gets = 0;
    uint64_t m_puts = 0;
    uint64_t m_removes = 0;
    uint64_t m_lists = 0;
    uint64_t m_watches = 0;
    uint64_t m_vmLists = 0;
    uint64_t m_probes = 0;
    uint64_t m_conflicts = 0; ///< Conditional writes that failed with Conflict.
    uint64_t m_throttled = 0; ///< Responses with status 429 (too many requests).
    uint64_t m_failures = 0; ///< Tries without a usable response.
    uint64_t m_unknownWrites = 0; ///< Writes with unknown outcome.
    uint64_t m_overBudget = 0; ///< Calls refused because of the client's rate limit.
    uint64_t m_failedFast = 0; ///< Calls refused in outage mode.
    uint64_t m_outages = 0; ///< Times that outage mode began.
    bool m_outage = false; ///< Whether the client is in outage mode now.
};

/// A VM in the list of the platform.
struct ListedVm {
    VmId m_id;
    DataCentreId m_dataCentre;
    std::string m_udp; ///< "a.b.c.d:port" of the probes between VMs.
    std::string m_peer; ///< Address for calls between VMs.
    std::string m_http; ///< Address for the callers of the service.
    bool m_leaving = false; ///< The platform reports the VM's state as "leaving".
};

struct VmList {
    std::vector<ListedVm> m_vms;
    Millis m_age{ 0 }; ///< How old the list is.
};

class StoreChannel;

/// All calls must have returned before it is destroyed.
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
    /// The VMs that the platform lists.
    Result<VmList> vms();

    /// Whether the client is in outage mode. May be called by any thread.
    bool outage() const;
    /// May be called by any thread.
    StoreCounters counters() const;

private:
    std::shared_ptr<StoreChannel> m_channel;
};

} // namespace stackquay
