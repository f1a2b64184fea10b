#pragma once

#include "core/types.h"

#include <optional>
#include <string>
#include <string_view>

namespace cranberryshed::request {

// At most this many bytes of the body are hashed, from its start.
constexpr std::size_t maxFingerprintedBodyBytes = 16 * 1024;

// The parts of a request that its fingerprint covers. The request key and all other headers are excluded, so the
// fingerprint stays the same when a caller resends the request with another key or through another entry VM.
struct RequestContent {
    std::string_view host; // port and letter case are ignored
    std::string_view method;
    std::string_view target;
    std::optional<std::uint64_t> bodyLength; // none: chunked transfer of unknown length
    std::string_view bodyPrefix; // bytes after the first maxFingerprintedBodyBytes are ignored
};

// The fingerprint of the content alone. The front end sets it in RequestArrived.
core::Fingerprint fingerprintOf(const RequestContent&);

// Combines the fingerprint of the content with the class of work. The engine uses the result.
core::Fingerprint classFingerprint(core::Fingerprint content, std::string_view className);

// 16 hexadecimal digits, for logs and for messages between entry VMs.
std::string formatFingerprint(core::Fingerprint);
std::optional<core::Fingerprint> parseFingerprint(std::string_view text);

}
