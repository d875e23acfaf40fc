/// Chooses the engines that prefill a long prompt together, for the earliest first event that keeps
/// the streams on these engines within their gap limits.
///
/// An engine prefills a part within one pass, before it decodes further, so the part and the
/// engine's prefill backlog add to the gap of every stream there. The smallest gap limit of its
/// streams thus bounds the parts that an engine can take. More engines make the parts shorter, but
/// the first event waits for the engine with the longest backlog.
#pragma once

#include <optional>
#include <vector>

#include "policy/engine_candidate.h"

namespace stackquay {

struct PrefillGroupSettings {
    /// A long prompt is not divided much further than into parts of this length. It is less than a
    /// pass, so shorter parts would not make the first event earlier.
    FloatMillis m_minLongPart{ 40 };
    uint32_t m_maxHelpers = 16; ///< Maximum that the engines support.
};

struct LongPrompt {
    double m_tokens = 0; ///< Memory for the prompt and its answer.
    FloatMillis m_prefill{ 0 }; ///< Time on one engine.
    bool m_needsSeveralEngines = false; ///< It does not fit into the memory of one engine.
};

/// Whether a prefill may disrupt streams, so that they exceed their gap limits.
enum class DisruptionPolicy {
    Avoid, ///< Use only engines whose streams tolerate the prefill.
    Permit, ///< Use any engine and count the disrupted streams.
};

/// Engines that prefill one prompt in equal parts.
struct PrefillGroup {
    std::vector<EngineCandidate> m_engines; ///< The first one decodes the answer.
    FloatMillis m_partTime{ 0 }; ///< Predicted prefill time of one part.
    FloatMillis m_firstEvent{ 0 }; ///< Predicted time from sending to the first event.
    uint32_t m_disruptedStreams = 0; ///< Streams predicted to exceed their gap limits.
};

/// Smallest number of engines, out of @p engines, that divides a prefill that takes @p prefill into
/// parts of at most @p part; or the largest permitted number if that does not suffice. At least
/// one.
size_t maxPrefillEngines(const PrefillGroupSettings &settings, size_t engines, FloatMillis prefill,
                         FloatMillis part);

/// The group with the earliest predicted first event. @p engines are sorted by preference as
/// helpers. No value if no group has the memory, or with DisruptionPolicy::Avoid, if streams do not
/// tolerate it.
std::optional<PrefillGroup> fastestPrefillGroup(const PrefillGroupSettings &settings,
                                                const EngineCosts &costs,
                                                const std::vector<EngineCandidate> &engines,
                                                const LongPrompt &prompt,
                                                DisruptionPolicy disruption);

} // namespace stackquay
