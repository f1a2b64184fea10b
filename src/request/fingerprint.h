#pragma once

#include "core/types.h"

#include <optional>
#include <string_view>

namespace cranberryshed::request {

// Bytes at the start of a body that a fingerprint covers.
constexpr std::size_t maxFingerprintedBytes = 16 * 1024;

// The content of a request. The request key and all other headers are left out, so the fingerprint stays the
// same when a caller sends the request again with another key or through another entry VM.
struct RequestContent {
    std::string_view host; // a port and letter case are ignored
    std::string_view method;
    std::string_view target;
    std::optional<std::uint64_t> bodyLength; // none: sent in chunks of unknown total length
    std::string_view bodyPrefix; // up to maxFingerprintedBytes bytes; more are ignored
};

// The fingerprint that the front end puts into RequestArrived.
core::Fingerprint fingerprintOf(const RequestContent&);

// The fingerprint of the same content in one class of work. The engine uses this one.
core::Fingerprint classFingerprint(core::Fingerprint content, std::string_view className);

}
