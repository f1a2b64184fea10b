#pragma once

#include "fleet/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cranberryshed::wire {

// The largest datagram that is sent. It passes usual links without being split.
constexpr std::size_t maxDatagramBytes = 1200;

// The largest framed message: an object of 1 MiB with the tables and gossip around it.
constexpr std::size_t maxFrameBytes = 1024U * 1024U + 64U * 1024U;

// The bytes of a message as a FlatBuffer (peer.fbs), without a frame.
std::vector<std::uint8_t> encodePeerMessage(const fleet::Message&);

// Reads a message. The buffer is verified before it is read, and values outside their ranges are refused.
// Throws core::Error (BadMessage) if it is malformed.
fleet::Message decodePeerMessage(std::span<const std::uint8_t>);

}
