#include "peers/rumors.h"

#include <algorithm>

#include "peers/codec.h"

namespace stackquay {

namespace {

/// Takes the least often sent keys whose values fit, counts them as sent, and drops those that
/// reached the limit.
template<typename Key, typename Find, typename Take>
void takeLeastSent(std::map<Key, uint32_t> &rumors, size_t &budget, uint32_t limit,
                   const Find &find, const Take &take)
{
    std::vector<std::pair<uint32_t, Key>> order;
    for (const auto &[key, sentCount] : rumors)
        order.emplace_back(sentCount, key);
    std::sort(order.begin(), order.end());
    for (const auto &[sentCount, key] : order) {
        const auto *value = find(key);
        if (!value) {
            rumors.erase(key);
            continue;
        }
        const size_t size = encodedSize(*value);
        if (size > budget)
            return;
        budget -= size;
        take(*value);
        if (++rumors[key] >= limit)
            rumors.erase(key);
    }
}

} // namespace

void Rumors::fill(MembershipMessage &message, const MemberTable &table, size_t budget,
                  uint32_t limit)
{
    const auto findNotice = [&](const NoticeKey &key) -> const EndpointNotice * {
        const auto held = table.notices().find(key);
        return held == table.notices().end() ? nullptr : &held->second.m_notice;
    };
    const auto findVm = [&](const VmId &id) -> const VmInfo * {
        const Member *member = table.find(id);
        return member ? &member->m_info : nullptr;
    };
    takeLeastSent(m_notices, budget, limit, findNotice,
                  [&](const EndpointNotice &notice) { message.m_notices.push_back(notice); });
    takeLeastSent(m_vms, budget, limit, findVm,
                  [&](const VmInfo &vm) { message.m_members.push_back(vm); });
}

size_t encodedSize(const VmInfo &vm)
{
    return encodeMessage(vm).size();
}

size_t encodedSize(const EndpointNotice &notice)
{
    return encodeMessage(notice).size();
}

} // namespace stackquay
