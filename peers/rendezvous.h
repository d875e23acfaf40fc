/// Assigns roles to VMs by rendezvous hashing of a key over the VMs of a data centre.
///
/// VMs with different member lists may compute different holders, so roles are advisory: actions
/// that must not happen twice are guarded by the platform's store or by the endpoint itself.
#pragma once

#include "peers/member.h"

namespace stackquay {

/// The holder of @p key, or null if no VM may hold a role.
const VmInfo *roleHolder(const MemberList &members, std::string_view key);

/// The @p count best candidates for @p key, best first; fewer if there are fewer VMs.
std::vector<VmInfo> roleHolders(const MemberList &members, std::string_view key, size_t count);

/// Keys of the roles, so that each role has one spelling.
std::string endpointRoleKey(const EndpointId &endpoint);
std::string customerRoleKey(const CustomerId &customer);

/// VMs that watch the store on behalf of their data centre.
std::vector<VmInfo> storeWatchers(const MemberList &members);

const VmInfo *stewardOf(const MemberList &members, const EndpointId &endpoint);
const VmInfo *stewardOf(const MemberList &members, const CustomerId &customer);

} // namespace stackquay
