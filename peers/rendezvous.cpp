#include "peers/rendezvous.h"

#include <algorithm>

namespace stackquay {

namespace {

constexpr size_t WatcherCount = 2;

} // namespace

const VmInfo *roleHolder(const MemberList &members, std::string_view key)
{
    const VmInfo *best = nullptr;
    uint64_t bestScore = 0;
    for (const VmInfo &vm : members.m_vms) {
        if (!mayHoldRole(vm))
            continue;
        const uint64_t score = rendezvousScore(key, vm.m_id.str());
        if (best && score <= bestScore)
            continue;
        best = &vm;
        bestScore = score;
    }
    return best;
}

std::vector<VmInfo> roleHolders(const MemberList &members, std::string_view key, size_t count)
{
    std::vector<VmInfo> holders = members.roleHolders();
    const auto better = [key](const VmInfo &left, const VmInfo &right) {
        return rendezvousScore(key, left.m_id.str()) > rendezvousScore(key, right.m_id.str());
    };
    const size_t kept = std::min(count, holders.size());
    std::partial_sort(holders.begin(), holders.begin() + kept, holders.end(), better);
    holders.resize(kept);
    return holders;
}

std::string endpointRoleKey(const EndpointId &endpoint)
{
    return "endpoint/" + endpoint.str();
}

std::string customerRoleKey(const CustomerId &customer)
{
    return "customer/" + customer.str();
}

std::vector<VmInfo> storeWatchers(const MemberList &members)
{
    return roleHolders(members, "watcher", WatcherCount);
}

const VmInfo *stewardOf(const MemberList &members, const EndpointId &endpoint)
{
    return roleHolder(members, endpointRoleKey(endpoint));
}

const VmInfo *stewardOf(const MemberList &members, const CustomerId &customer)
{
    return roleHolder(members, customerRoleKey(customer));
}

} // namespace stackquay
