/// What the callers of a simulated pool experience: whether they are served, how fast, and when
/// they are refused.
#pragma once

#include <string>
#include <vector>

#include "pool_sim.h"

namespace stackquay {

/// Median and 99th percentile.
struct Spread {
    double m_median = 0;
    double m_p99 = 0;
};

/// Experience of the callers of one kind of prompt. Times are in milliseconds and count from the
/// first arrival of a request, also if it was refused and came back.
struct CallerOutcomes {
    size_t m_callers = 0;
    double m_served = 0; ///< Fraction that received the whole answer.
    double m_servedLargestTenth = 0;
    double m_servedNextFifth = 0;
    Spread m_firstEventMs; ///< Of those that are served.
    Spread m_slowdown; ///< Time to the first event, relative to an idle pool.
    size_t m_refusals = 0;
    Spread m_refusalMs; ///< From each arrival to its refusal.
    size_t m_refusedForGood = 0; ///< Callers whose last try was refused.
    size_t m_leftInSilence = 0; ///< Callers that left while their request waited or ran.
    size_t m_told = 0; ///< Callers that were told when their turn comes.
    size_t m_toldAndServed = 0;
};

CallerOutcomes callerOutcomes(const PoolLoad &load, const std::vector<PromptOutcome> &outcomes,
                              size_t kind);

/// Time to the first event of a prompt on a pool without any other request.
FloatMillis idleFirstEvent(const PoolLoad &load, const PromptKind &kind, double tokens);

/// Number of requests whose first refusal was needless: as many of the refused prompts as a
/// clairvoyant schedule could have prefilled before their callers leave, while all others run as
/// they did. A prompt fits if the engine time that was idle between its arrival and the end of its
/// caller's patience, and is not taken by another refused prompt, suffices for its prefill. Slices
/// of IdleSlice count if they are within that interval. The smallest prompts are placed first, as
/// that places the most. Memory, gap limits and the number of engines for one prompt are not taken
/// into account, so the count is rather too high. Only kinds with long gap limits count.
size_t needlessRefusals(const PoolLoad &load, const PoolRun &run);

/// One line of a table, for each kind.
std::string describe(const CallerOutcomes &outcomes);

} // namespace stackquay
