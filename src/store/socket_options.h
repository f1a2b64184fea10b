#pragma once

#include "core/types.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cranberryshed::store {

// Ends a TCP connection whose other side has fallen silent: sent data must be acknowledged within `limit`, and
// while nothing is under way, probes are sent each second. Without this, a partition or a lost power supply leaves
// the connection open for minutes.
inline void detectUnresponsiveHost(int socket, core::Duration limit)
{
    constexpr int probeSeconds = 1;
    const int on = 1;
    const int milliseconds = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(limit).count());
    const int probes = std::max(1, milliseconds / 1000);
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeSeconds, sizeof(probeSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeSeconds, sizeof(probeSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

}
