/// Engines as candidates for a model request: the cost of decoding or prefilling there, the free
/// memory, and how much more prefill the engine's streams tolerate.
#pragma once

#include <functional>
#include <vector>

#include "core/core.h"
#include "policy/endpoint_directory.h"
#include "policy/stream_ledger.h"

namespace stackquay {

struct CandidateSettings {
    /// Fraction of the smallest gap limit of an engine's streams that the predicted pass and
    /// prefills may use. The rest is a margin for prompts that arrive in the meantime and for
    /// prediction errors.
    double m_maxGapUse = 0.8;
    /// Fraction of an engine's memory that plans leave free, for answers longer than usual.
    double m_memoryReserveShare = 0.1;
};

/// An engine with its known load. Costs are in milliseconds and serve to compare candidates.
struct EngineCandidate {
    const EndpointRecord *m_endpoint = nullptr;
    EndpointUse m_use;
    double m_answerCost = 0; ///< Of decoding the answer on this engine.
    double m_prefillCost = 0; ///< Of prefilling a part of the prompt on this engine.
    double m_freeTokens = 0; ///< Memory left for planned use.
    double m_prefillHeadroomMs = 0; ///< As prefillHeadroomMs().
};

/// Inputs of a choice that do not depend on the candidate.
struct CandidateQuery {
    DataCentreId m_dataCentre; ///< Of the VM that chooses.
    /// Returns a random number in [0, 1) for each candidate. It spreads the choices of VMs that do
    /// not know each other's load yet. Empty: no randomization.
    std::function<double()> m_drawJitter;
};

/// Memory of one engine that plans may use, in tokens.
double usableTokens(const CandidateSettings &settings, const EngineCosts &costs);

/// Time in milliseconds that an engine can spend on further prefills before one of its streams is
/// predicted to exceed its gap limit. Infinite if no stream has a limit, negative if one is
/// predicted to exceed it already.
double prefillHeadroomMs(const CandidateSettings &settings, const EngineCosts &costs,
                         const EndpointUse &use);

/// Longest prefill that an engine whose slots and memory are all taken does in one pass within
/// @p gapLimit, the longest of the gap limits of the streams; at least as long as it decodes.
FloatMillis maxPassPrefill(const CandidateSettings &settings, const EngineCosts &costs,
                           Millis gapLimit);

/// One candidate for each of @p endpoints, in the same order. The candidates point into
/// @p endpoints.
std::vector<EngineCandidate> engineCandidates(const CandidateSettings &settings,
                                              const EngineCosts &costs,
                                              const std::vector<EndpointRecord> &endpoints,
                                              const EndpointUses &uses,
                                              const CandidateQuery &query);

/// Orders candidates by the cost of prefilling a part of a prompt.
bool hasLowerPrefillCost(const EngineCandidate &left, const EngineCandidate &right);

/// Predicted time from sending to the first event, for a prompt that the first @p width of
/// @p engines prefill in parts that take @p part each. The first engine decodes the answer.
FloatMillis predictFirstEvent(const EngineCosts &costs, const std::vector<EngineCandidate> &engines,
                              size_t width, FloatMillis part);

/// Predicted time to decode @p answerTokens on @p engine beside the streams that it has.
FloatMillis predictDecoding(const EngineCosts &costs, const EngineCandidate &engine,
                            double answerTokens);

} // namespace stackquay
