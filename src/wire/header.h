#pragma once

#include "core/errors.h"
#include "core/types.h"
#include "wire/asio.h"

#include <optional>
#include <span>
#include <string_view>

namespace cranberryshed::wire {

using RequestHeader = http::request_header<http::fields>;
using Fields = http::fields;

inline std::string_view toStd(beast::string_view text)
{
    return { text.data(), text.size() };
}

// Checks a request for errors that the parser accepts but a proxy must not forward: an ambiguous length, a missing or
// repeated Host, a transfer coding other than chunked, CONNECT or TRACE, a target that is not a path. Returns the error
// kind to answer, or nothing if the header is valid.
std::optional<core::ErrorKind> checkHeader(const RequestHeader&);

// Removes the hop-by-hop fields: those listed in Connection and those that apply to a single connection (RFC 9110,
// section 7.6.1). Also removes Expect, which this proxy has handled already. Keeps Content-Length, Transfer-Encoding,
// Host and the fields in `endToEnd` even if Connection lists them: they are meant for the final recipient, and without
// the first two it would take the body for the next message.
void removeHopByHop(Fields&, std::span<const std::string_view> endToEnd);

// Returns the percent-decoded value of a query parameter, or nothing if it is absent.
std::optional<std::string> queryParameter(std::string_view target, std::string_view name);

// Percent-encodes all characters of a query parameter's value that are not unreserved (RFC 3986, section 2.3).
std::string percentEncode(std::string_view text);

// Parses a header field as a whole number of milliseconds. Returns nothing if it is absent or not a positive number.
std::optional<std::chrono::microseconds> millisecondsField(const Fields&, std::string_view name);

// Parses Retry-After as seconds, with or without a fraction. Returns nothing if it is absent, negative or not a number,
// such as a date; a longer time than a day is returned as a day.
std::optional<core::Duration> retryAfterField(const Fields&);

}
