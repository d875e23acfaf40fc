#include "net/silence.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace stackquay {

namespace {

/// The least that the system takes.
constexpr int ProbeSeconds = 1;

void setOption(int socket, int level, int name, int value)
{
    (void)::setsockopt(socket, level, name, &value, sizeof(value));
}

} // namespace

void boundSilence(int socket, const SilenceBounds &bounds)
{
    if (bounds.m_unacknowledged <= Millis(0))
        return;
    setOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(bounds.m_unacknowledged.count()));
    if (!bounds.m_probes)
        return;
    setOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, ProbeSeconds);
    setOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
    setOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
}

int unacknowledgedBytes(int socket)
{
    int bytes = 0;
    return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 ? bytes : 0;
}

} // namespace stackquay
