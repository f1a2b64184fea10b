#pragma once

#include "wire/asio.h"

#include <string>
#include <string_view>

namespace cranberryshed::wire {

// Parses "IP:port", or "[IPv6]:port" for IPv6. Throws core::Error (BadSettings) if the text is malformed.
tcp::endpoint parseEndpoint(std::string_view text);

// Formats an endpoint as "IP:port" or "[IPv6]:port".
std::string formatEndpoint(const tcp::endpoint&);

}
