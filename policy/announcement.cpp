#include "policy/announcement.h"

#include <algorithm>
#include <numeric>

namespace stackquay {

double AnnouncementBudget::capacity() const
{
    return m_settings.m_datagramsPerSecond
           * std::chrono::duration<double>(m_settings.m_maxSaving).count();
}

bool AnnouncementBudget::countEvent(size_t peers, TimePoint now)
{
    if (m_countedAt != TimePoint{})
        m_datagrams += m_settings.m_datagramsPerSecond
                       * std::chrono::duration<double>(now - m_countedAt).count();
    m_countedAt = now;
    if (m_datagrams >= capacity()) {
        m_datagrams = capacity();
        m_batches = false;
    }
    m_datagrams -= static_cast<double>(peers);
    if (m_datagrams < 0) {
        m_datagrams = 0;
        m_batches = true;
    }
    return m_batches;
}

std::vector<std::vector<size_t>> drawForwardGroups(size_t peers, size_t maxGroups,
                                                   RandomEngine &random)
{
    std::vector<size_t> order(peers);
    std::iota(order.begin(), order.end(), size_t(0));
    std::shuffle(order.begin(), order.end(), random);
    std::vector<std::vector<size_t>> groups(std::min(peers, maxGroups));
    for (size_t i = 0; i < peers; ++i)
        groups[i % groups.size()].push_back(order[i]);
    return groups;
}

BatchPart ReceivedBatches::receive(const BatchNumber &batch)
{
    uint64_t &last = m_last[batch.m_origin];
    if (batch.m_number <= last)
        return BatchPart::None;
    const bool next = batch.m_number == last + 1;
    last = batch.m_number;
    return next ? BatchPart::New : BatchPart::All;
}

} // namespace stackquay
