/// The engines that accept long prompts: as many as the demand needs, so that the others stay free
/// for short ones.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "core/core.h"

namespace stackquay {

struct LongSetSettings {
    Millis m_window{ 60'000 }; ///< Over which the demand is averaged.
    /// Share of an engine's time that long prefills may take before another engine is added.
    double m_targetShare = 0.6;
    Millis m_drain{ 5'000 }; ///< Within which the long prefills that wait should be begun.
    /// An engine is taken out only if the rest would stay below this part of the target...
    double m_shrinkBelow = 0.7;
    Millis m_shrinkAfter{ 30'000 }; ///< ... and this long after the last change.
    double m_startShare = 0.25; ///< Of the engines, before any demand is known.
    double m_maxShare = 0.75; ///< Of the engines; at least one engine takes long prompts.
};

struct LongSet {
    double m_work = 0; ///< Seconds of long prefill, decaying over the window.
    TimePoint m_workAt;
    double m_waiting = 0; ///< Seconds of long prefill that wait for an engine.
    uint32_t m_size = 0; ///< 0: not sized yet.
    TimePoint m_changed;
};

/// Notes that a long prefill of @p predicted time was asked for.
void noteLongDemand(LongSet &set, Duration predicted, TimePoint now,
                    const LongSetSettings &settings = {});
/// Number of engines that long prefills need: those that come, and those that wait.
double longDemand(const LongSet &set, TimePoint now, const LongSetSettings &settings = {});
/// Sizes the set for @p engines usable engines: grows at once, shrinks one at a time and late.
/// Returns the size.
uint32_t resizeLongSet(LongSet &set, uint32_t engines, TimePoint now,
                       const LongSetSettings &settings = {});
/// Which of @p engines belong to a set of @p size: the first by a hash of their ids, so that a
/// change of the size or of the engines moves few.
std::vector<bool> longSetMembers(std::span<const EndpointId> engines, uint32_t size);

} // namespace stackquay
