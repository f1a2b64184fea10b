#pragma once

#include "fleet/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace cranberryshed::wire {

// Maximum size of a datagram that is sent. It fits the MTU of common links, so that it is not fragmented.
constexpr std::size_t maxDatagramBytes = 1200;

// Maximum size of a framed message: an object of 1 MiB plus the FlatBuffer tables and the piggybacked gossip.
constexpr std::size_t maxFrameBytes = 1024U * 1024U + 64U * 1024U;

// Encodes a message as a FlatBuffer (peer.fbs), without a frame.
std::vector<std::uint8_t> encodePeerMessage(const fleet::Message&);

// Decodes a message. Verifies the buffer before reading it, and rejects values that are out of range.
// Throws core::Error (BadMessage) if the message is malformed.
fleet::Message decodePeerMessage(std::span<const std::uint8_t>);

}
