#pragma once

#include "core/types.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cranberryshed::net {

// Sets socket options that close a TCP connection whose other host no longer responds: sent data must be acknowledged
// within `timeout`, and while no data is in flight, a keep-alive probe is sent each second. Without them, the
// connection stays open for minutes after a partition or after the other host has lost power.
inline void detectUnresponsiveHost(int socket, core::Duration timeout)
{
    constexpr int probeIntervalSeconds = 1;
    const int enabled = 1;
    const int timeoutMs = static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    const int maxUnansweredProbes = std::max(1, timeoutMs / 1000);
    ::setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &probeIntervalSeconds, sizeof(probeIntervalSeconds));
    ::setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &maxUnansweredProbes, sizeof(maxUnansweredProbes));
    ::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeoutMs, sizeof(timeoutMs));
}

}
