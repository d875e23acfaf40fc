/// A lease on one object of the store, as a state machine without I/O, clock or thread.
///
/// The version of the lease object is the fencing number: every write raises it, so a later holder
/// always has a higher one. The object must never be removed. The holder measures the lease
/// duration from before it sent its write, the other nodes from after they read the object. So they
/// acquire the lease only after the holder considers it expired, provided that clocks drift by less
/// than the margin within one duration.
#pragma once

#include <optional>

#include "core/chart.h"
#include "core/core.h"
#include "store/objects.h"

namespace stackquay {

/// Version of the lease object after the holder's last successful write. Attached to the holder's
/// orders, so that receivers can reject those of an earlier holder.
using FencingNumber = ObjectVersion;

struct LeaseSettings {
    std::string m_key; ///< Key of the lease object.
    std::string m_holder; ///< Readable name of this node, for diagnosis only.
    Duration m_duration = Seconds(15);
    Duration m_margin = Seconds(1); ///< The holder gives up this long before the lease expires.
    Duration m_renewInterval = Seconds(5);
    Duration m_pollInterval = Seconds(3); ///< Interval of reads while another node holds it.
    Duration m_retryDelay = Millis(500); ///< Delay after an error of the store.
};

/// The value of a lease object.
struct LeaseRecord {
    std::string m_holder;
    std::string m_acquisition; ///< Unique per Lease object; identifies its own writes.
    Duration m_duration{};
    bool m_released = false;
};

/// The value of a lease object, as JSON.
std::string formatLeaseRecord(const LeaseRecord &record);
/// ProtocolError if @p text is not a lease record.
Result<LeaseRecord> parseLeaseRecord(const std::string &text);

/// The states of charts/lease.scxml.
enum class LeaseState {
    Standby,
    Acquiring,
    ReadingBack,
    Held,
    Renewing,
    Releasing,
    Released,
};

/// The events of charts/lease.scxml.
enum class LeaseEvent {
    Wanted, ///< The lease is free and may be acquired.
    Written, ///< The write was applied.
    Conflict, ///< The write was rejected: the version has changed.
    AnswerLost, ///< The outcome of the write is unknown.
    ReadMine, ///< The record read is this node's own, and the version is new.
    ReadOther, ///< The version is new, and the record is not this node's own.
    ReadUnchanged, ///< The version is the one last seen.
    StoreError, ///< The call failed; nothing was written.
    RenewDue, ///< It is time to renew.
    Expired, ///< The own lease has expired.
    Stopped, ///< release() was called.
};

enum class LeaseRequest {
    None, ///< Call next() again at m_waitUntil.
    Read,
    Write,
};

/// What the caller has to do next.
struct LeaseStep {
    LeaseRequest m_request = LeaseRequest::None;
    TimePoint m_waitUntil = TimePoint::max(); ///< None: when to call next() again at the latest.
    std::string m_value; ///< Write: the value.
    ObjectVersion m_condition = NoObject; ///< Write: the version that it may replace.
};

/// Data of the guards and actions of the chart.
struct LeaseContext {
    LeaseSettings m_settings;
    std::string m_acquisition;
    TimePoint m_now{}; ///< Time passed to the current call of Lease.
    LeaseRequest m_request = LeaseRequest::None; ///< The request to make next.
    TimePoint m_requestAt{}; ///< Earliest time of that request.
    TimePoint m_backoffUntil{}; ///< Earliest time of any request after a conflict or error.
    bool m_release = false; ///< The next write releases the lease.
    TimePoint m_renewAt{}; ///< When the holder renews.

    ObjectVersion m_version = NoObject; ///< Last version seen.
    std::optional<TimePoint> m_versionSeenAt; ///< When that version was first seen.
    std::optional<LeaseRecord> m_record; ///< Record at m_version; nullopt if absent or malformed.

    FencingNumber m_fencing = NoObject;
    TimePoint m_heldUntil{}; ///< Zero: not held.
    TimePoint m_sentAt{}; ///< When the last write was sent.
    /// When the first write with unknown outcome was sent that may still replace m_version.
    std::optional<TimePoint> m_unresolvedSince;
};

using LeaseChart = Chart<LeaseContext, LeaseState, LeaseEvent>;

/// Loads lease.scxml from @p folder.
Result<LeaseChart> loadLeaseChart(const std::string &folder);

/// The caller performs the request that next() returns, and reports its result by onRead() or
/// onWritten() before it calls next() again. All times are of the caller's monotonic clock.
class Lease
{
public:
    /// @p acquisition: a random ID that is never used again; see LeaseRecord.
    Lease(const LeaseChart &chart, LeaseSettings settings, std::string acquisition);

    LeaseStep next(TimePoint now);
    void onRead(TimePoint now, const Result<VersionedObject> &object);
    void onWritten(TimePoint now, const Result<ObjectVersion> &version);
    /// Gives the lease up: it is not held from now on, and next() asks for a write that tells the
    /// other nodes.
    void release();

    /// The fencing number to attach to orders; nullopt if the lease is not held at @p now.
    std::optional<FencingNumber> fencingNumber(TimePoint now) const;
    LeaseState state() const { return m_instance.state(); }
    bool released() const { return state() == LeaseState::Released; }
    /// The record of the current or last holder, as last read or written; nullopt if unknown.
    const std::optional<LeaseRecord> &record() const { return m_context.m_record; }

private:
    void dispatch(LeaseEvent event);
    void dispatchTimeEvents();
    LeaseEvent applyRead(const Result<VersionedObject> &object);

    const LeaseChart &m_chart;
    LeaseContext m_context;
    ChartInstance<LeaseContext, LeaseState, LeaseEvent> m_instance;
    bool m_releaseRequested = false;
};

} // namespace stackquay
