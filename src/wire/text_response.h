#pragma once

#include "core/errors.h"
#include "request/events.h"
#include "wire/asio.h"

#include <optional>
#include <string>

namespace cranberryshed::wire {

using TextResponse = http::response<http::string_body>;

namespace field {
    inline constexpr std::string_view error = "X-Cranberryshed-Error";
    inline constexpr std::string_view run = "X-Cranberryshed-Run";
    inline constexpr std::string_view requestKey = "X-Request-Key";
    inline constexpr std::string_view deadline = "X-Deadline-Ms";
    inline constexpr std::string_view backendRun = "X-Backend-Run";
    inline constexpr std::string_view firstStatus = "X-First-Status";
}

// The answer for an error of the system's own: header fields and a JSON body that state the error kind
// and whether the request was run.
TextResponse errorResponse(const request::Reject&);
TextResponse errorResponse(core::ErrorKind);

TextResponse jsonResponse(unsigned status, std::string body);

// The error kind for a failure to parse a request's header.
core::ErrorKind parseErrorKind(error_code);

}
