#include "policy/recent_answers.h"

#include <utility>

namespace stackquay {

void recordAnswer(RecentAnswers &answers, uint64_t key, TimePoint now)
{
    if (now - answers.m_latestSince > answers.m_memory
        || answers.m_latest.size() >= answers.m_max / 2) {
        answers.m_earlier = std::exchange(answers.m_latest, {});
        answers.m_latestSince = now;
    }
    answers.m_latest.insert(key);
}

bool wasAnswered(const RecentAnswers &answers, uint64_t key)
{
    return answers.m_latest.count(key) > 0 || answers.m_earlier.count(key) > 0;
}

} // namespace stackquay
