#pragma once

#include "wire/asio.h"

#include <string>
#include <string_view>

namespace cranberryshed::wire {

// Parses "IP:port" ("[IPv6]:port" for IPv6). Throws core::Error (BadSettings) otherwise.
tcp::endpoint parseEndpoint(std::string_view text);

// The inverse of parseEndpoint.
std::string formatEndpoint(const tcp::endpoint&);

}
