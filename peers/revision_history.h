/// The revision in force and the patches that lead to it from recent ones. Does no I/O.
#pragma once

#include <deque>
#include <string>
#include <vector>

#include "core/core.h"

namespace stackquay {

/// The whole declared intent at one revision; its text is opaque here.
struct RevisionText {
    uint64_t m_revision = 0; ///< 0 if no intent was ever declared.
    std::string m_text;
};

/// Patch from the text of one revision to that of a later one; from 0, it holds the whole text.
struct RevisionStep {
    uint64_t m_from = 0;
    uint64_t m_to = 0;
    uint64_t m_hash = 0; ///< Hash of the text at m_to.
    std::string m_patch;

    MSGPACK_DEFINE(m_from, m_to, m_hash, m_patch)
};

class RevisionHistory
{
public:
    const RevisionText &present() const { return m_present; }
    /// Replaces the current text by a higher revision. False if the revision is not higher.
    bool advance(RevisionText text);
    /// The steps from @p revision to the current one; a single step with the whole text if those
    /// from @p revision are not kept.
    Result<std::vector<RevisionStep>> stepsFrom(uint64_t revision) const;
    /// Applies @p steps to the current text and returns the result; the history is unchanged.
    /// ProtocolError if a step does not fit or a hash does not match.
    Result<RevisionText> applySteps(const std::vector<RevisionStep> &steps) const;

private:
    RevisionText m_present;
    std::deque<RevisionStep> m_steps; ///< Contiguous: each starts at the end of the previous one.
};

} // namespace stackquay
