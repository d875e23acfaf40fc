/// Places for refused requests whose callers were told when to come back.
///
/// A request that cannot start in time is refused at once, with the time at which its turn is
/// predicted. Until then a place is kept for it: it counts as work ahead of requests that arrive
/// later, so that those are not told the same time, and when the request comes back, it is ordered
/// by its first arrival. A place reserves no engine: if the caller does not come back, nothing
/// waits for it. A caller that comes back early is told the same time again and gains nothing.
///
/// All VMs of a cell hear of each place. A lost message, or a return to a VM of another cell, makes
/// a return an ordinary arrival.
#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "core/core.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct ReturnPlace {
    Fingerprint m_request; ///< Equal for all tries of the same request.
    TimePoint m_firstArrival{};
    TimePoint m_dueAt{}; ///< When the caller was told to come back.
    TimePoint m_expiresAt{}; ///< The place is dropped then.
    double m_workMs = 0; ///< See QueuedRequest.
};

/// Work that is expected at some time.
struct DueWork {
    TimePoint m_dueAt{};
    double m_workMs = 0;
};

class ReturnSchedule
{
public:
    /// Keeps a place, or replaces the one of the same request. Does nothing if MaxPlaces are kept.
    void keep(const ReturnPlace &place);
    /// The place of @p request; null: none.
    const ReturnPlace *find(const Fingerprint &request, TimePoint now) const;
    /// Drops the place of @p request, because it came back or will not.
    void release(const Fingerprint &request);
    /// The work of all places, in the order of their due times.
    std::vector<DueWork> dueWork() const;
    void dropExpired(TimePoint now);
    size_t size() const { return m_places.size(); }

private:
    std::unordered_map<Fingerprint, ReturnPlace, FingerprintHash> m_places;
};

/// Bounds the memory of a VM; about a minute of refusals in a cell of 128 VMs.
constexpr size_t MaxPlaces = 4'096;
/// A caller may come back this much earlier than told, as clocks and delays vary.
constexpr Millis ReturnTolerance{ 50 };
/// A caller that has not come back this long after it was told to has given up.
constexpr Millis ReturnGrace{ 1'000 };

/// When callers may come back.
struct ReturnSettings {
    Millis m_shortest{ 250 };
    /// Fraction of the time left for which callers wait at most when told to.
    double m_maxShareOfTimeLeft = 1.0 / 3;
};

/// Longest time that a caller with @p timeLeft waits when told to.
Duration longestHonoured(const ReturnSettings &settings, Duration timeLeft);

/// A request that is refused at m_now.
struct ReturnQuery {
    TimePoint m_now{};
    TimePoint m_deadline{};
    Duration m_turn{}; ///< Predicted time until its turn, at the latest.
    Duration m_timeToComplete{}; ///< From its start to the end of its answer.
};

/// What the caller of a refused request is told.
struct ReturnAdvice {
    /// How long to wait before it comes back; nothing if its turn is predicted too late for its
    /// deadline, so that it can only be served if the prediction is wrong.
    std::optional<Duration> m_delay;
    /// Whether its turn is foreseen for then, so that a place is kept.
    bool m_keepsPlace = false;
};

ReturnAdvice adviseReturn(const ReturnSettings &settings, const ReturnQuery &query);

} // namespace stackquay
