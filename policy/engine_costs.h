/// Prefill and decode times of an engine, computed from the costs declared in the configuration.
///
/// An engine works in passes. A pass executes `stride` decode steps for all streams of the engine
/// and prefills the waiting prompts, so each prefill lengthens the gap between events of every
/// stream that decodes there.
#pragma once

#include <cstdint>

#include "core/core.h"

namespace stackquay {

using FloatMillis = std::chrono::duration<double, std::milli>;

/// Declared costs of one engine.
struct EngineCosts {
    uint32_t m_slots = 1; ///< Requests that decode concurrently.
    uint64_t m_memoryTokens = 0; ///< Capacity of the KV cache.
    uint32_t m_stride = 1; ///< Decode steps in a pass.
    FloatMillis m_step{ 1 }; ///< Base time of a decode step.
    FloatMillis m_stepPerSequence{ 0 }; ///< Added for each decoding request.
    FloatMillis m_stepPerThousandContext{ 0 }; ///< Added for each 1,000 tokens of context.
    double m_prefillTokensPerSecond = 1; ///< Prefill rate, without attention.
    FloatMillis m_perMillionPairs{ 0 }; ///< Attention: pairs of a token and an earlier one.
    FloatMillis m_hop{ 0 }; ///< Added to a step for each request that several engines prefilled.
    uint64_t m_usualAnswerTokens = 0; ///< Mean length of an answer; 0: not declared.
};

/// Time to prefill a prompt of @p tokens on one otherwise idle engine.
FloatMillis prefillDuration(const EngineCosts &costs, double tokens);

/// Time of one pass without prefills that decodes @p streams requests with @p contextTokens of
/// context in total.
FloatMillis passTime(const EngineCosts &costs, uint32_t streams, double contextTokens);

/// Time to decode @p answerTokens on an engine whose slots are all taken and whose memory is half
/// full.
FloatMillis decodeDuration(const EngineCosts &costs, double answerTokens);

/// Time of one pass without prefills on an engine whose slots and memory are all taken.
FloatMillis fullPassTime(const EngineCosts &costs);

/// Time to decode a usual answer if no other request slows it down.
FloatMillis streamTime(const EngineCosts &costs);

/// Expected time from the end of a prefill on a full engine to the first event: the prefill ends
/// within a pass, and the event comes at the end of the next one.
FloatMillis startDelay(const EngineCosts &costs);

} // namespace stackquay
