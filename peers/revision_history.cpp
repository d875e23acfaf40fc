#include "peers/revision_history.h"

#include <algorithm>

#include <fmt/format.h>

namespace stackquay {

namespace {

constexpr size_t MaxSteps = 64;
constexpr size_t MaxPatchBytes = 256 * 1024;

size_t bytesOf(const std::deque<RevisionStep> &steps)
{
    size_t bytes = 0;
    for (const RevisionStep &step : steps)
        bytes += step.m_patch.size();
    return bytes;
}

Result<RevisionStep> stepBetween(const RevisionText &from, const RevisionText &to)
{
    Result<std::string> patch = makePatch(from.m_text, to.m_text);
    if (!patch)
        return tl::unexpected(patch.error());
    return RevisionStep{ from.m_revision, to.m_revision, stableHash(to.m_text), std::move(*patch) };
}

} // namespace

bool RevisionHistory::advance(RevisionText text)
{
    if (text.m_revision <= m_present.m_revision)
        return false;
    Result<RevisionStep> step = stepBetween(m_present, text);
    if (step && m_present.m_revision > 0)
        m_steps.push_back(std::move(*step));
    else
        m_steps.clear();
    while (m_steps.size() > MaxSteps || bytesOf(m_steps) > MaxPatchBytes)
        m_steps.pop_front();
    m_present = std::move(text);
    return true;
}

Result<std::vector<RevisionStep>> RevisionHistory::stepsFrom(uint64_t revision) const
{
    const auto first = std::find_if(m_steps.begin(), m_steps.end(), [&](const RevisionStep &step) {
        return step.m_from == revision;
    });
    if (first != m_steps.end())
        return std::vector<RevisionStep>(first, m_steps.end());
    Result<RevisionStep> whole = stepBetween(RevisionText(), m_present);
    if (!whole)
        return tl::unexpected(whole.error());
    return std::vector<RevisionStep>{ std::move(*whole) };
}

Result<RevisionText> RevisionHistory::applySteps(const std::vector<RevisionStep> &steps) const
{
    RevisionText reached = m_present;
    for (const RevisionStep &step : steps) {
        if (step.m_from != 0 && step.m_from != reached.m_revision)
            return makeError(
                ErrorCode::ProtocolError,
                fmt::format("step starts at revision {}, but the text is at revision {}",
                            step.m_from, reached.m_revision));
        const std::string_view base = step.m_from == 0 ? std::string_view() : reached.m_text;
        Result<std::string> text = applyPatch(base, step.m_patch);
        if (!text)
            return tl::unexpected(text.error());
        if (stableHash(*text) != step.m_hash)
            return makeError(ErrorCode::ProtocolError, "patched text does not match its hash");
        reached = RevisionText{ step.m_to, std::move(*text) };
    }
    return reached;
}

} // namespace stackquay
