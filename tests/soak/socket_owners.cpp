#include "tests/soak/socket_owners.h"

#include <filesystem>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <sys/socket.h>
#include <unistd.h>

namespace stackquay::soak {

namespace {

struct DiagRequest {
    nlmsghdr m_header;
    inet_diag_req_v2 m_query;
};

struct DiagAnswer {
    nlmsghdr m_header;
    inet_diag_msg m_found;
    char m_attributes[1'024];
};

/// The inode of a loopback connection's socket, as the kernel tells it; zero: there is none.
uint32_t inodeOf(uint16_t from, uint16_t to)
{
    DiagRequest request{};
    request.m_header.nlmsg_len = sizeof(request);
    request.m_header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
    request.m_header.nlmsg_flags = NLM_F_REQUEST;
    request.m_query.sdiag_family = AF_INET;
    request.m_query.sdiag_protocol = IPPROTO_TCP;
    request.m_query.idiag_states = ~0u;
    request.m_query.id.idiag_sport = htons(from);
    request.m_query.id.idiag_dport = htons(to);
    request.m_query.id.idiag_src[0] = request.m_query.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
    request.m_query.id.idiag_cookie[0] = request.m_query.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
    const int socket = ::socket(AF_NETLINK, SOCK_RAW | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
    if (socket < 0)
        return 0;
    DiagAnswer answer{};
    uint32_t inode = 0;
    if (::send(socket, &request, sizeof(request), 0) == static_cast<ssize_t>(sizeof(request))
        && ::recv(socket, &answer, sizeof(answer), 0) > 0
        && answer.m_header.nlmsg_type == SOCK_DIAG_BY_FAMILY)
        inode = answer.m_found.idiag_inode;
    ::close(socket);
    return inode;
}

bool holds(pid_t pid, uint32_t inode)
{
    const std::string wanted = fmt::format("socket:[{}]", inode);
    std::error_code error;
    const std::filesystem::directory_iterator files(fmt::format("/proc/{}/fd", pid), error);
    if (error)
        return false;
    for (const auto &file : files) {
        if (std::filesystem::read_symlink(file.path(), error) == wanted)
            return true;
    }
    return false;
}

} // namespace

void SocketOwners::set(size_t owner, pid_t pid)
{
    const std::lock_guard lock(m_mutex);
    m_pids[owner] = pid;
}

std::optional<size_t> SocketOwners::ownerOf(uint16_t from, uint16_t to) const
{
    const uint32_t inode = inodeOf(from, to);
    if (inode == 0)
        return std::nullopt;
    const std::lock_guard lock(m_mutex);
    for (const auto &[owner, pid] : m_pids) {
        if (holds(pid, inode))
            return owner;
    }
    return std::nullopt;
}

} // namespace stackquay::soak
