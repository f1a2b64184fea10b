#pragma once

#include "core/declarations.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryshed::declare {

// Parses a UTC time such as "2027-03-31T22:00:00Z". Returns nothing for any other format or an impossible date.
std::optional<core::WallTime> parseTime(std::string_view text);

// Formats a time as parseTime reads it, rounded down to a second.
std::string formatTime(core::WallTime time);

// An IPv4 address prefix.
struct Prefix {
    std::uint32_t firstAddress = 0; // host byte order
    std::uint8_t length = 0; // bits, 0 to 32
};

// Parses a prefix such as "10.1.0.0/16". Returns nothing for any other format or if bits beyond the prefix are set.
std::optional<Prefix> parsePrefix(std::string_view text);

std::string formatPrefix(Prefix prefix);

// Whether the text is "IP:port" with an IPv4 address and a port from 1 to 65535.
bool isEndpoint(std::string_view text);

// Whether the text can be the name of an object: 1 to 64 letters, digits, '.', '_' or '-'. No other characters are
// allowed because names are part of URL paths.
bool isValidName(std::string_view text);

}
