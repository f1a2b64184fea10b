#pragma once

#include "core/errors.h"
#include "request/events.h"
#include "wire/asio.h"

#include <optional>
#include <string>

namespace cranberryshed::wire {

// An HTTP response with its whole body in memory.
using TextResponse = http::response<http::string_body>;

// Names of the header fields of the native dialect.
namespace field {
    inline constexpr std::string_view error = "X-Cranberryshed-Error";
    inline constexpr std::string_view run = "X-Cranberryshed-Run";
    inline constexpr std::string_view requestKey = "X-Request-Key";
    inline constexpr std::string_view deadline = "X-Deadline-Ms";
    inline constexpr std::string_view backendRun = "X-Backend-Run";
    // Number of a request at its entry VM. A backend server repeats it in the answer, so that a second copy of an answer
    // is not taken for the answer to the next request on the connection.
    inline constexpr std::string_view exchangeId = "X-Exchange-Id";
    inline constexpr std::string_view firstStatus = "X-First-Status";
}

// Returns the answer for an error that cranberryshed itself detected. Its header fields and JSON body state the kind of
// error and whether the request was run.
TextResponse errorResponse(const request::Reject&);
TextResponse errorResponse(core::ErrorKind);

TextResponse jsonResponse(unsigned status, std::string body);

// Returns the error kind to answer if reading or parsing a request failed.
core::ErrorKind parseErrorKind(error_code);

}
