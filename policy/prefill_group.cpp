#include "policy/prefill_group.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stackquay {

namespace {

/// Whether @p left is preferred over @p right for answering a prompt of @p tokens: it has memory
/// for more of it, a free slot, and less prefill headroom. This gathers streams on engines that
/// already decode, and keeps engines without streams free for prefills.
bool isBetterAnswerer(const EngineCandidate &left, const EngineCandidate &right, double tokens,
                      uint32_t slots)
{
    const auto rank = [&](const EngineCandidate &engine) {
        return std::tuple(std::max(0.0, tokens - engine.m_freeTokens),
                          engine.m_use.m_attempts >= slots, engine.m_prefillHeadroomMs,
                          engine.m_answerCost);
    };
    return rank(left) < rank(right);
}

double freeTokens(const std::vector<EngineCandidate> &engines)
{
    double tokens = 0;
    for (const EngineCandidate &engine : engines)
        tokens += engine.m_freeTokens;
    return tokens;
}

/// Number of streams on @p engines that a prefill of @p part pushes beyond their gap limits.
uint32_t disruptedStreamsAt(FloatMillis part, const std::vector<EngineCandidate> &engines)
{
    uint32_t spoilt = 0;
    for (const EngineCandidate &engine : engines)
        spoilt += engine.m_prefillHeadroomMs < part.count() ? engine.m_use.m_attempts : 0;
    return spoilt;
}

/// The engines that may prefill a part of @p part, with the answering engine first.
std::vector<EngineCandidate> eligibleEngines(const EngineCosts &costs,
                                             const std::vector<EngineCandidate> &engines,
                                             const LongPrompt &prompt, FloatMillis part,
                                             DisruptionPolicy disruption)
{
    std::vector<EngineCandidate> members;
    for (const EngineCandidate &engine : engines) {
        if (disruption == DisruptionPolicy::Permit || engine.m_prefillHeadroomMs >= part.count())
            members.push_back(engine);
    }
    if (members.empty())
        return members;
    const auto first =
        std::min_element(members.begin(), members.end(), [&](const auto &left, const auto &right) {
            return isBetterAnswerer(left, right, prompt.m_tokens, costs.m_slots);
        });
    std::rotate(members.begin(), first, first + 1);
    return members;
}

/// The answering engine and the preferred helpers, @p width engines in total. No value if fewer are
/// eligible or their memory does not suffice.
std::optional<PrefillGroup> prefillGroupOf(const EngineCosts &costs,
                                           const std::vector<EngineCandidate> &engines,
                                           const LongPrompt &prompt, size_t width,
                                           DisruptionPolicy disruption)
{
    PrefillGroup group;
    group.m_partTime = prompt.m_prefill / static_cast<double>(width);
    group.m_engines = eligibleEngines(costs, engines, prompt, group.m_partTime, disruption);
    if (group.m_engines.size() < width)
        return std::nullopt;
    group.m_engines.resize(width);
    if (freeTokens(group.m_engines) < prompt.m_tokens)
        return std::nullopt;
    group.m_disruptedStreams = disruptedStreamsAt(group.m_partTime, group.m_engines);
    group.m_firstEvent = predictFirstEvent(costs, group.m_engines, width, group.m_partTime);
    return group;
}

} // namespace

size_t maxPrefillEngines(const PrefillGroupSettings &settings, size_t engines, FloatMillis prefill,
                         FloatMillis part)
{
    const size_t maxWidth = std::min<size_t>(engines, settings.m_maxHelpers + 1);
    return std::clamp<size_t>(static_cast<size_t>(std::ceil(prefill / part)), 1, maxWidth);
}

std::optional<PrefillGroup> fastestPrefillGroup(const PrefillGroupSettings &settings,
                                                const EngineCosts &costs,
                                                const std::vector<EngineCandidate> &engines,
                                                const LongPrompt &prompt,
                                                DisruptionPolicy disruption)
{
    // The memory may require more engines than the minimum part length allows.
    const size_t maxWidth =
        prompt.m_needsSeveralEngines
            ? std::min<size_t>(engines.size(), settings.m_maxHelpers + 1)
            : maxPrefillEngines(settings, engines.size(), prompt.m_prefill, settings.m_minLongPart);
    std::optional<PrefillGroup> best;
    for (size_t width = 1; width <= maxWidth; ++width) {
        auto group = prefillGroupOf(costs, engines, prompt, width, disruption);
        if (group && (!best || group->m_firstEvent < best->m_firstEvent))
            best = std::move(group);
    }
    return best;
}

} // namespace stackquay
