/// What became of one request of a load run.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "core/core.h"

namespace stackquay {

/// How a request ended, as the caller can tell.
enum class LoadOutcome : uint8_t {
    Complete, ///< Whole and checked.
    Refused, ///< Answered with "not run".
    Failed, ///< Cut or answered with a failure; it may have run.
    Unreachable, ///< No connection: nothing was sent.
    Truncated, ///< Ended as if whole, but without its final frame.
    Wrong, ///< A gap, a wrong count or a text that differs.
    Unfinished, ///< Still open at the end of the drain time.
    NotSent, ///< Held back by the limit on open requests.
    Count, ///< Number of outcomes; not an outcome.
};

/// The lower-case name, as printed and as in JSON.
std::string_view loadOutcomeName(LoadOutcome outcome);

/// The groups that a run reports apart: prompts by length, and plain service calls.
enum class LoadClass : uint8_t {
    UpTo4k,
    UpTo32k,
    UpTo128k,
    Above128k,
    Service,
    Count, ///< Number of classes; not a class.
};

constexpr size_t LoadClassCount = static_cast<size_t>(LoadClass::Count);
constexpr size_t LoadOutcomeCount = static_cast<size_t>(LoadOutcome::Count);

std::string_view loadClassName(LoadClass loadClass);
/// The class of a prompt of @p tokens.
LoadClass classOfPrompt(uint32_t tokens);

/// One request's measurements. Times count from the planned arrival.
struct LoadRecord {
    LoadClass m_class = LoadClass::UpTo4k;
    LoadOutcome m_outcome = LoadOutcome::Unfinished;
    uint8_t m_priority = 0;
    uint8_t m_phase = 0; ///< Index into the run's phases.
    uint16_t m_customer = 0; ///< Index into the run's customers.
    uint16_t m_status = 0; ///< HTTP status; 0 if none came.
    uint32_t m_promptTokens = 0;
    uint32_t m_cachedTokens = 0;
    uint32_t m_outputTokens = 0;
    Micros m_arrival{ 0 }; ///< From the start of the run.
    Micros m_firstToken{ 0 }; ///< Zero if none came.
    Micros m_total{ 0 };
    Micros m_meanGap{ 0 }; ///< Mean time between tokens.
    Micros m_longestGap{ 0 }; ///< Longest wait between two frames.
};

} // namespace stackquay
