/// The revision in force and the way to it from recent ones. Pure.
#pragma once

#include <deque>
#include <memory>
#include <vector>

#include "peers/revision_patch.h"

namespace stackquay {

/// The whole declared intent at one revision; its text is opaque here.
struct RevisionText {
    uint64_t m_revision = 0; ///< 0: nothing was ever declared.
    std::string m_text;
};

/// Leads from the text of one revision to that of a later one; from 0: the whole text.
struct RevisionStep {
    uint64_t m_from = 0;
    uint64_t m_to = 0;
    uint64_t m_hash = 0; ///< Of the text of m_to.
    std::string m_patch;

    MSGPACK_DEFINE(m_from, m_to, m_hash, m_patch)
};

class RevisionHistory
{
public:
    const RevisionText &present() const { return m_present; }
    /// Replaces the present text by a higher revision; a lower one is not taken.
    bool advance(RevisionText text);
    /// The steps from @p revision to the present; one whole text if the way is not known.
    Result<std::vector<RevisionStep>> stepsFrom(uint64_t revision) const;
    /// The text at which @p steps end, starting from the present one.
    Result<RevisionText> follow(const std::vector<RevisionStep> &steps) const;

private:
    RevisionText m_present;
    std::deque<RevisionStep> m_steps; ///< Each starts where the one before ends.
};

} // namespace stackquay
