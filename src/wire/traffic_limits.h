#pragma once

#include "core/types.h"

#include <cstddef>
#include <cstdint>

namespace cranberryshed::wire {

// Bounds on the resources that one caller or one request can use.
struct TrafficLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 8ULL << 30;
    std::size_t maxReplayBytes = 64 * 1024; // a request body of up to this size is kept, so that it can be sent again
    std::size_t relayBufferBytes = 64 * 1024; // size of the buffer through which a body is streamed
    core::Duration headerTimeout = std::chrono::seconds(10); // from the first byte of a header to its last
    core::Duration idleTimeout = std::chrono::seconds(60); // between two requests on a connection
    core::Duration progressTimeout = std::chrono::seconds(30); // without progress in sending or receiving a body
    core::Duration connectTimeout = std::chrono::seconds(1); // to a backend server
    // Time without an acknowledgement from a backend server's host after which its connections count as broken.
    core::Duration unresponsiveHostTimeout = std::chrono::seconds(2);
    std::uint32_t maxConnectionsPerCaller = 256; // per caller address
};

}
