#pragma once

#include "core/errors.h"
#include "wire/asio.h"

#include <optional>
#include <string_view>

namespace cranberryshed::wire {

using RequestHeader = http::request_header<http::fields>;
using Fields = http::fields;

inline std::string_view toStd(beast::string_view text)
{
    return { text.data(), text.size() };
}

// Checks a request for what the parser accepts but a proxy must not forward: an ambiguous length, a missing
// or repeated Host, a transfer coding other than chunked, a target that is not a path. Nothing means fine.
std::optional<core::ErrorKind> checkHeader(const RequestHeader&);

// Removes the fields that concern one connection only (RFC 9110, section 7.6.1).
void removeHopByHop(Fields&);

// The value of a query parameter, percent-decoded; nothing if it is absent.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

// A whole number of milliseconds in a header field; nothing if absent or not a positive number.
std::optional<std::chrono::microseconds> millisecondsField(const Fields&, std::string_view name);

}
