/// A lease on one object of the store, as a state machine without I/O, clock or thread.
///
/// The object's version is the fencing number: every write raises it, so a later holder always has
/// a higher one. The object must never be removed. The holder counts its time from before it sent
/// the write; the others count theirs from after they read it, so they take the lease only when the
/// holder has let go, as long as clocks drift by less than the margin over one duration.
#pragma once

#include <optional>

#include "core/chart.h"
#include "core/core.h"
#include "store/objects.h"

namespace stackquay {

/// Version of the lease object after the holder's last write.
using FencingNumber = ObjectVersion;

struct LeaseSettings {
    std::string m_key; ///< Of the lease object.
    std::string m_holder; ///< Who asks, for people to read.
    Duration m_duration = Seconds(15);
    Duration m_margin = Seconds(1); ///< Taken off the holder's own time.
    Duration m_renewEvery = Seconds(5);
    Duration m_readEvery = Seconds(3); ///< While another holds it.
    Duration m_retryEvery = Millis(500); ///< After an error of the store.
};

/// The value of a lease object.
struct LeaseRecord {
    std::string m_holder;
    std::string m_acquisition; ///< Unique to one would-be holder; tells own writes from others'.
    Duration m_duration{};
    bool m_released = false;
};

std::string formatLeaseRecord(const LeaseRecord &record);
Result<LeaseRecord> parseLeaseRecord(const std::string &text);

enum class LeaseState {
    Standby,
    Acquiring,
    ReadingBack,
    Held,
    Renewing,
    Releasing,
    Released,
};

enum class LeaseEvent {
    Wanted, ///< Nobody holds it.
    Written,
    Conflict,
    AnswerLost,
    ReadMine,
    ReadOther,
    ReadUnchanged, ///< The version is still the one that was to be replaced.
    StoreError, ///< Surely nothing was written.
    RenewDue,
    Expired,
    Stopped,
};

enum class LeaseRequest {
    None, ///< Ask again at m_until.
    Read,
    Write,
};

struct LeaseStep {
    LeaseRequest m_request = LeaseRequest::None;
    TimePoint m_until = TimePoint::max();
    std::string m_value; ///< To write,
    ObjectVersion m_condition = NoObject; ///< if the object has this version.
};

/// What the chart's guards and actions work on.
struct LeaseContext {
    LeaseSettings m_settings;
    std::string m_acquisition;
    TimePoint m_now{}; ///< Of the call in progress.
    LeaseRequest m_request = LeaseRequest::None;
    TimePoint m_requestAt{}; ///< Not before.
    TimePoint m_holdOffUntil{}; ///< No request before.
    bool m_release = false; ///< The write releases.
    TimePoint m_renewAt{};

    ObjectVersion m_version = NoObject; ///< Last seen.
    std::optional<TimePoint> m_seenSince; ///< When that version was first seen.
    std::optional<LeaseRecord> m_record; ///< Of that version; none if absent or malformed.

    FencingNumber m_fencing = NoObject;
    TimePoint m_heldUntil{};
    TimePoint m_sentAt{}; ///< Of the last write.
    /// When the first write was sent whose fate is unknown and that may still replace m_version.
    std::optional<TimePoint> m_unsettledSince;
};

using LeaseChart = Chart<LeaseContext, LeaseState, LeaseEvent>;

/// Loads lease.scxml from the folder of charts.
Result<LeaseChart> loadLeaseChart(const std::string &folder);

/// Its caller carries out next() and reports the answer before it asks again. Every time is of the
/// caller's monotonic clock.
class Lease
{
public:
    /// @p acquisition is unguessable and never used again.
    Lease(const LeaseChart &chart, LeaseSettings settings, std::string acquisition);

    LeaseStep next(TimePoint now);
    void onRead(TimePoint now, const Result<VersionedObject> &object);
    void onWritten(TimePoint now, const Result<ObjectVersion> &version);
    /// Lets go: not held from now on.
    void release();

    /// The number to put on orders, if the lease is held at @p now.
    std::optional<FencingNumber> fencingNumber(TimePoint now) const;
    LeaseState state() const { return m_instance.state(); }
    bool released() const { return state() == LeaseState::Released; }
    /// The last record read, of whoever holds it.
    const std::optional<LeaseRecord> &record() const { return m_context.m_record; }

private:
    void dispatch(LeaseEvent event);
    void dispatchTimeEvents();
    LeaseEvent noteRead(const Result<VersionedObject> &object);

    const LeaseChart &m_chart;
    LeaseContext m_context;
    ChartInstance<LeaseContext, LeaseState, LeaseEvent> m_instance;
    bool m_stopWanted = false;
};

} // namespace stackquay
