/// Leader lease: the exclusive, time-limited right of one VM to act for a bucket of keys, such as
/// to grant limit slices of some customers.
///
/// The lease is an object in the store that is changed by conditional writes only. For the holder,
/// the lease starts when it sends the write that the store later confirms. Another VM may take over
/// once it has seen the same version for longer than the lease lasts. As the holder's period starts
/// earlier and ends by its own clock, two leases never overlap, however long messages are delayed
/// or a process is paused; only the rates of the clocks must agree within m_clockDrift. A holder
/// may also hand the remaining time over to a VM that requests it, without the store.
#pragma once

#include <optional>

#include "core/core.h"

namespace stackquay {

struct LeaderLeaseSettings {
    Duration m_duration = Seconds(30); ///< From when the write is sent.
    Duration m_renewInterval = Seconds(10);
    double m_clockDrift = 0.01; ///< Max relative difference of the rates of two clocks.
};

/// The value of the object in the store.
struct LeaderLeaseRecord {
    VmId m_holder;
    uint64_t m_incarnation = 0; ///< Of the holder's process.
    uint64_t m_writeId = 0; ///< Identifies the write, so that a read shows whether it took effect.

    auto operator<=>(const LeaderLeaseRecord &) const = default;
    MSGPACK_DEFINE(m_holder, m_incarnation, m_writeId)
};

/// A conditional write to send to the store.
struct LeaderLeaseWrite {
    uint64_t m_ifVersion = 0; ///< The object must have this version; 0: it must not exist.
    LeaderLeaseRecord m_record;
};

/// State of one lease as one VM sees it. Times are of the VM's own clock.
struct LeaderLease {
    LeaderLeaseSettings m_settings;
    VmId m_self;
    uint64_t m_incarnation = 0;

    bool m_observed = false; ///< Whether the object, or its absence, has been read.
    uint64_t m_version = 0; ///< Latest known version; 0: the object does not exist.
    LeaderLeaseRecord m_record; ///< The record of m_version.
    TimePoint m_firstSeen{}; ///< When m_version was first seen.

    TimePoint m_heldUntil{}; ///< End of this VM's lease; in the past if it holds none.
    /// Writes of this VM up to this id are treated as another VM's, even if one takes effect later:
    /// the time that they give was handed over.
    uint64_t m_handedOverWriteId = 0;
    bool m_receivedByHandover = false; ///< The remaining time of m_version was handed to this VM.
    uint64_t m_lastWriteId = 0;
    std::optional<LeaderLeaseWrite> m_pendingWrite; ///< Sent, result not known.
    TimePoint m_pendingSince{}; ///< When m_pendingWrite was sent.
};

bool holdsLeaderLease(const LeaderLease &lease, TimePoint now);

/// Applies the result of a read of the object; version 0: it does not exist. The read also decides
/// the result of a pending write whose answer was lost, so the caller must not read while a write
/// is in flight.
void observeLeaderLease(LeaderLease &lease, uint64_t version, const LeaderLeaseRecord &record,
                        TimePoint now);

/// Returns the write to send now if the lease is to be renewed or taken over, else no value. There
/// is no further write until the result of this one is known or the object has been read.
std::optional<LeaderLeaseWrite> beginLeaderLeaseWrite(LeaderLease &lease, TimePoint now);

/// Applies the store's confirmation of the write with this id; @p version is the new version.
void confirmLeaderLeaseWrite(LeaderLease &lease, uint64_t writeId, uint64_t version, TimePoint now);

/// Discards the pending write, which the store refused. The object has to be read next.
void rejectLeaderLeaseWrite(LeaderLease &lease);

/// The remaining time of a lease, as one VM hands it to another.
struct LeaderLeaseHandover {
    uint64_t m_version = 0;
    LeaderLeaseRecord m_record;
    Duration m_remaining{};
};

/// Ends this VM's lease and returns its remaining time; no value if it held none.
std::optional<LeaderLeaseHandover> handOverLeaderLease(LeaderLease &lease, TimePoint now);

/// Takes over the remaining time of another VM's lease. @p requestedAt is when this VM sent the
/// request that the handover answers; the caller must pass at most one answer to each request.
void receiveLeaderLease(LeaderLease &lease, const LeaderLeaseHandover &handover,
                        TimePoint requestedAt, TimePoint now);

} // namespace stackquay
