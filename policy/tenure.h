/// Tenure: the exclusive right of one VM to act for a bucket of keys, such as to lend the limits of
/// some customers, for a bounded time.
///
/// The tenure is an object in the store that is only ever written conditionally. The holder counts
/// its time from before it sent the write that the store confirmed. Another VM may take over once
/// it has seen the same version for longer than that. As the holder's count begins earlier and ends
/// on its own clock, two tenures never overlap, however long messages take or a process is paused;
/// only the rates of the clocks must agree within m_clockDrift. A holder may also hand the rest of
/// its time to another that asks, without the store.
#pragma once

#include <optional>

#include "core/core.h"

namespace stackquay {

struct TenureSettings {
    Duration m_length = Seconds(30); ///< From the start of the write.
    Duration m_renewEvery = Seconds(10);
    double m_clockDrift = 0.01; ///< Largest relative difference of two clocks' rates.
};

/// The value of the object in the store.
struct TenureRecord {
    VmId m_holder;
    uint64_t m_incarnation = 0;
    uint64_t m_writeId = 0; ///< Tells the holder's writes apart, to settle lost answers.

    auto operator<=>(const TenureRecord &) const = default;
    MSGPACK_DEFINE(m_holder, m_incarnation, m_writeId)
};

/// A conditional write to make. Version 0: the object must not exist.
struct TenureWrite {
    uint64_t m_ifVersion = 0;
    TenureRecord m_record;
};

/// One VM's view of one tenure. Times are of its own clock.
struct Tenure {
    TenureSettings m_settings;
    VmId m_self;
    uint64_t m_incarnation = 0;

    bool m_observed = false; ///< The object, or its absence, has been read.
    uint64_t m_version = 0; ///< As last seen; 0: no object.
    TenureRecord m_record; ///< As last seen.
    TimePoint m_firstSeen{}; ///< When m_version was first seen.

    TimePoint m_until{}; ///< End of the own tenure; in the past: none.
    /// Own writes up to this one count as another's: their time was handed over, even if one of
    /// them takes effect later.
    uint64_t m_handedOverWriteId = 0;
    bool m_received = false; ///< Another handed over its time of m_version.
    uint64_t m_lastWriteId = 0;
    std::optional<TenureWrite> m_pending;
    TimePoint m_pendingSince{};
};

bool holdsTenure(const Tenure &tenure, TimePoint now);

/// A read of the object came back. Version 0: it does not exist. Settles a write whose answer was
/// lost, so read only when none is on its way.
void observeTenure(Tenure &tenure, uint64_t version, const TenureRecord &record, TimePoint now);

/// The write to send now, if one is due: to renew the tenure, or to take it over. No other is due
/// before the result of this one is known, or the object has been read.
std::optional<TenureWrite> beginTenureWrite(Tenure &tenure, TimePoint now);

/// The store confirmed the write with this id.
void tenureWritten(Tenure &tenure, uint64_t writeId, uint64_t version, TimePoint now);

/// The store refused the pending write: the object has to be read.
void tenureRefused(Tenure &tenure);

/// What another VM handed over.
struct TenureHandover {
    uint64_t m_version = 0;
    TenureRecord m_record;
    Duration m_left{};
};

/// Ends the own tenure and returns what was left of it; none if there was none.
std::optional<TenureHandover> handOverTenure(Tenure &tenure, TimePoint now);

/// Takes the rest of another's tenure, which answered a question that was sent at @p asked. The
/// caller must accept one answer to each question at most.
void receiveTenure(Tenure &tenure, const TenureHandover &handover, TimePoint asked, TimePoint now);

} // namespace stackquay
