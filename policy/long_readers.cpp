#include "policy/long_readers.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace stackquay {

namespace {

/// Whether @p left had better answer a prompt of @p tokens than @p right: it has memory for more of
/// it, a slot, and little room to read beyond the part. So engines that write get more streams, and
/// those that write none stay free to read.
bool answersBetter(const EngineRoom &left, const EngineRoom &right, double tokens, uint32_t slots)
{
    const auto rank = [&](const EngineRoom &engine) {
        return std::tuple(std::max(0.0, tokens - engine.m_freeTokens),
                          engine.m_use.m_attempts >= slots, engine.m_roomMs, engine.m_answerCost);
    };
    return rank(left) < rank(right);
}

double freeTokens(const std::vector<EngineRoom> &engines)
{
    double tokens = 0;
    for (const EngineRoom &engine : engines)
        tokens += engine.m_freeTokens;
    return tokens;
}

/// Streams of @p engines that do not bear a part of @p part.
uint32_t spoiltBy(FloatMillis part, const std::vector<EngineRoom> &engines)
{
    uint32_t spoilt = 0;
    for (const EngineRoom &engine : engines)
        spoilt += engine.m_roomMs < part.count() ? engine.m_use.m_attempts : 0;
    return spoilt;
}

/// Those that may read a part of @p part, the one that answers first.
std::vector<EngineRoom> membersFor(const EngineCosts &costs, const std::vector<EngineRoom> &engines,
                                   const LongPrompt &prompt, FloatMillis part, StreamCare care)
{
    std::vector<EngineRoom> members;
    for (const EngineRoom &engine : engines) {
        if (care == StreamCare::Spoil || engine.m_roomMs >= part.count())
            members.push_back(engine);
    }
    if (members.empty())
        return members;
    const auto first =
        std::min_element(members.begin(), members.end(), [&](const auto &left, const auto &right) {
            return answersBetter(left, right, prompt.m_tokens, costs.m_slots);
        });
    std::rotate(members.begin(), first, first + 1);
    return members;
}

/// The @p width engines that read it soonest; nothing if there are not so many.
std::optional<Readers> readersOf(const EngineCosts &costs, const std::vector<EngineRoom> &engines,
                                 const LongPrompt &prompt, size_t width, StreamCare care)
{
    Readers readers;
    readers.m_part = prompt.m_read / static_cast<double>(width);
    readers.m_engines = membersFor(costs, engines, prompt, readers.m_part, care);
    if (readers.m_engines.size() < width)
        return std::nullopt;
    readers.m_engines.resize(width);
    if (freeTokens(readers.m_engines) < prompt.m_tokens)
        return std::nullopt;
    readers.m_spoilt = spoiltBy(readers.m_part, readers.m_engines);
    readers.m_firstEvent = predictFirst(costs, readers.m_engines, width, readers.m_part);
    return readers;
}

} // namespace

size_t mostReaders(const ReaderSettings &settings, size_t engines, FloatMillis read,
                   FloatMillis part)
{
    const size_t most = std::min<size_t>(engines, settings.m_mostHelpers + 1);
    return std::clamp<size_t>(static_cast<size_t>(std::ceil(read / part)), 1, most);
}

std::optional<Readers> soonestReaders(const ReaderSettings &settings, const EngineCosts &costs,
                                      const std::vector<EngineRoom> &engines,
                                      const LongPrompt &prompt, StreamCare care)
{
    // Memory may ask for more engines than short parts do.
    const size_t most =
        prompt.m_spans ? std::min<size_t>(engines.size(), settings.m_mostHelpers + 1)
                       : mostReaders(settings, engines.size(), prompt.m_read, settings.m_longPart);
    std::optional<Readers> best;
    for (size_t width = 1; width <= most; ++width) {
        auto readers = readersOf(costs, engines, prompt, width, care);
        if (readers && (!best || readers->m_firstEvent < best->m_firstEvent))
            best = std::move(readers);
    }
    return best;
}

} // namespace stackquay
