#include "caller_outcomes.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

Spread spreadOf(std::vector<double> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) {
        return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))];
    };
    return { at(0.5), at(0.99) };
}

double millis(Duration duration)
{
    return FloatMillis(duration).count();
}

} // namespace

FloatMillis idleFirstEvent(const PoolLoad &load, const PromptKind &kind, double tokens)
{
    const size_t engines = isStrictGap(kind.m_gapLimitMs)
                               ? 1
                               : std::min(load.m_engines, DispatchSettings{}.m_maxPrefillEngines);
    return prefillDuration(load.m_costs, tokens) / static_cast<double>(engines)
           + passTime(load.m_costs, 1, tokens);
}

CallerOutcomes callerOutcomes(const PoolLoad &load, const std::vector<PromptOutcome> &outcomes,
                              size_t kind)
{
    CallerOutcomes result;
    const ServedShares shares = servedShares(outcomes, kind);
    result.m_callers = shares.m_count;
    result.m_served = shares.m_all;
    result.m_servedLargestTenth = shares.m_largestTenth;
    result.m_servedNextFifth = shares.m_nextFifth;
    std::vector<double> firstEvents;
    std::vector<double> slowdowns;
    std::vector<double> refusals;
    for (const PromptOutcome &outcome : outcomes) {
        if (outcome.m_kind != kind)
            continue;
        for (const Duration wait : outcome.m_refusals)
            refusals.push_back(millis(wait));
        result.m_refusedForGood += !outcome.m_started && !outcome.m_refusals.empty();
        result.m_leftInSilence += outcome.m_leftInSilence;
        result.m_told += outcome.m_told;
        result.m_toldAndServed += outcome.m_told && outcome.m_served;
        if (!outcome.m_served)
            continue;
        const double firstEvent = millis(outcome.m_firstEventAt - outcome.m_arrival);
        firstEvents.push_back(firstEvent);
        slowdowns.push_back(firstEvent
                            / idleFirstEvent(load, load.m_kinds[kind], outcome.m_tokens).count());
    }
    result.m_firstEventMs = spreadOf(std::move(firstEvents));
    result.m_slowdown = spreadOf(std::move(slowdowns));
    result.m_refusals = refusals.size();
    result.m_refusalMs = spreadOf(std::move(refusals));
    return result;
}

size_t needlessRefusals(const PoolLoad &load, const PoolRun &run)
{
    std::vector<double> idleMs = run.m_idleMsPerSlice;
    std::vector<const PromptOutcome *> refused;
    for (const PromptOutcome &outcome : run.m_outcomes) {
        if (!isStrictGap(load.m_kinds[outcome.m_kind].m_gapLimitMs) && !outcome.m_refusals.empty())
            refused.push_back(&outcome);
    }
    std::sort(refused.begin(), refused.end(),
              [](const auto *left, const auto *right) { return left->m_tokens < right->m_tokens; });
    size_t needless = 0;
    for (const PromptOutcome *outcome : refused) {
        const PromptKind &kind = load.m_kinds[outcome->m_kind];
        const auto slice = [&](Duration at) {
            return std::min(static_cast<size_t>(at / IdleSlice), idleMs.size());
        };
        const Duration arrival = outcome->m_arrival - PoolStart;
        const Duration time = std::min<Duration>(kind.m_patience, kind.m_deadline);
        // Slices that begin after the arrival and end before the caller leaves.
        const size_t from = slice(arrival) + 1;
        const size_t to = slice(arrival + time);
        double left = prefillDuration(load.m_costs, outcome->m_tokens).count();
        double free = 0;
        for (size_t i = from; i < to; ++i)
            free += idleMs[i];
        if (free < left)
            continue;
        ++needless;
        for (size_t i = from; i < to && left > 0; ++i) {
            const double used = std::min(left, idleMs[i]);
            idleMs[i] -= used;
            left -= used;
        }
    }
    return needless;
}

std::string describe(const CallerOutcomes &outcomes)
{
    return fmt::format(
        "callers={} served={:.3f} largest_tenth={:.3f} next_fifth={:.3f} "
        "first_event_ms={:.0f}/{:.0f} slowdown={:.1f}/{:.1f} refusals={} "
        "refusal_ms={:.0f}/{:.0f} refused_for_good={} left={} told={} "
        "told_served={}",
        outcomes.m_callers, outcomes.m_served, outcomes.m_servedLargestTenth,
        outcomes.m_servedNextFifth, outcomes.m_firstEventMs.m_median, outcomes.m_firstEventMs.m_p99,
        outcomes.m_slowdown.m_median, outcomes.m_slowdown.m_p99, outcomes.m_refusals,
        outcomes.m_refusalMs.m_median, outcomes.m_refusalMs.m_p99, outcomes.m_refusedForGood,
        outcomes.m_leftInSilence, outcomes.m_told, outcomes.m_toldAndServed);
}

} // namespace stackquay
