/// Sizes and selects the set of engines that accept long prompts. It has as many engines as the
/// demand needs, and the other engines stay free for short prompts.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct LongSetSettings {
    Millis m_window{ 60'000 }; ///< Time constant of the average demand.
    /// Fraction of the set's engine time that long prefills may take before an engine is added.
    double m_targetShare = 0.6;
    Millis m_backlogDrainTime{ 5'000 }; ///< Time within which waiting long prefills should start.
    /// An engine is removed only if the remaining ones stay below this fraction of m_targetShare...
    double m_shrinkBelow = 0.7;
    Millis m_shrinkAfter{ 30'000 }; ///< ... and this time after the last change.
    double m_startShare = 0.25; ///< Fraction of all engines, before any demand is known.
    double m_maxShare = 0.75; ///< Fraction of all engines; the set has at least one.
};

/// State of the set.
struct LongSet {
    double m_recentWork = 0; ///< Seconds of long prefill, decaying exponentially.
    TimePoint m_recentWorkAt; ///< Time to which m_recentWork has decayed.
    double m_waiting = 0; ///< Seconds of long prefill that wait for an engine; set by the caller.
    uint32_t m_size = 0; ///< 0: not sized yet.
    TimePoint m_changedAt; ///< Last change of the size.
};

/// Adds a requested long prefill of @p predicted duration to the demand.
void recordLongDemand(LongSet &set, Duration predicted, TimePoint now,
                      const LongSetSettings &settings = {});
/// Number of fully used engines that the long prefills need, both the arriving and the waiting
/// ones.
double longDemand(const LongSet &set, TimePoint now, const LongSetSettings &settings = {});
/// Adapts the size to the demand for @p engines usable engines and returns it. The set grows at
/// once and shrinks after a delay, by one engine at a time.
uint32_t resizeLongSet(LongSet &set, uint32_t engines, TimePoint now,
                       const LongSetSettings &settings = {});
/// One flag for each of @p engines: whether it belongs to a set of @p size. Engines are ranked by a
/// hash of their ids, so that a change of the size or of the engines moves few.
std::vector<bool> longSetMembers(std::span<const EndpointId> engines, uint32_t size);

} // namespace stackquay
