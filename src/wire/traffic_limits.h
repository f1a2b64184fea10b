#pragma once

#include "core/types.h"

#include <cstddef>
#include <cstdint>

namespace cranberryshed::wire {

// Bounds on what one caller or one request may use.
struct TrafficLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 8ULL << 30;
    std::size_t maxReplayBytes = 64 * 1024; // a request body up to this size can be sent a second time
    std::size_t relayBufferBytes = 64 * 1024; // read at a time while a body is streamed
    core::Duration headerTimeout = std::chrono::seconds(10); // from a header's first byte to its last
    core::Duration idleTimeout = std::chrono::seconds(60); // between two requests of a connection
    core::Duration progressTimeout = std::chrono::seconds(30); // without one byte of a body in either direction
    core::Duration connectTimeout = std::chrono::seconds(1); // to a backend server
    core::Duration unresponsiveHostTimeout = std::chrono::seconds(2); // of a backend server's host, until its connections count as broken
    std::uint32_t maxConnectionsPerCaller = 256;
};

}
