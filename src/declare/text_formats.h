#pragma once

#include "core/declarations.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryshed::declare {

// Reads a UTC time such as "2027-03-31T22:00:00Z". Returns nothing for any other form or an impossible date.
std::optional<core::WallTime> parseTime(std::string_view text);

// The time in the form that parseTime reads, rounded down to a second.
std::string formatTime(core::WallTime time);

// An IPv4 prefix in host byte order.
struct Prefix {
    std::uint32_t firstAddress = 0;
    std::uint8_t length = 0;
};

// Reads "10.1.0.0/16". Returns nothing for any other form or if bits beyond the prefix are set.
std::optional<Prefix> parsePrefix(std::string_view text);

std::string formatPrefix(Prefix prefix);

// Whether the text is "IP:port" with an IPv4 address and a port from 1 to 65535.
bool isEndpoint(std::string_view text);

// Whether the text may name an object: 1 to 64 letters, digits, '.', '_' or '-', as names are part of a URL path.
bool isValidName(std::string_view text);

}
