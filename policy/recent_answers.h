/// Remembers what was answered lately, by hash. What was answered does not usually begin to crash
/// endpoints, so crashes under it are likely to have another cause.
#pragma once

#include <unordered_set>

#include "core/core.h"

namespace stackquay {

struct RecentAnswers {
    /// Answers are remembered for this time at least, and for twice as long at most.
    Seconds m_memory{ 30 };
    /// Limit, of about 32 bytes each; the oldest are forgotten.
    size_t m_max = 4'096;
    std::unordered_set<uint64_t> m_latest;
    std::unordered_set<uint64_t> m_earlier;
    TimePoint m_latestSince{};
};

void recordAnswer(RecentAnswers &answers, uint64_t key, TimePoint now);
bool wasAnswered(const RecentAnswers &answers, uint64_t key);

} // namespace stackquay
