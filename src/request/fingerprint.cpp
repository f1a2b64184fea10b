#include "request/fingerprint.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <limits>

namespace cranberryshed::request {

namespace {

    std::string normalisedHost(std::string_view host)
    {
        std::string result(host.substr(0, host.find(':')));
        std::ranges::transform(result, result.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        return result;
    }

}

// Hashes each field separately, so that moving bytes from one field to the next changes the fingerprint.
core::Fingerprint fingerprintOf(const RequestContent& content)
{
    std::uint64_t hash = core::hashBytes(normalisedHost(content.host));
    hash = core::hashCombine(hash, core::hashBytes(content.method));
    hash = core::hashCombine(hash, core::hashBytes(content.target));
    hash = core::hashCombine(hash, content.bodyLength.value_or(std::numeric_limits<std::uint64_t>::max()));
    hash = core::hashCombine(hash, core::hashBytes(content.bodyPrefix.substr(0, maxFingerprintedBodyBytes)));
    return core::Fingerprint { hash };
}

core::Fingerprint classFingerprint(core::Fingerprint content, std::string_view className)
{
    return core::Fingerprint { core::hashCombine(core::hashBytes(className), static_cast<std::uint64_t>(content)) };
}

std::string formatFingerprint(core::Fingerprint fingerprint)
{
    std::array<char, 17> text {}; // 16 digits and the terminating zero
    std::snprintf(text.data(), text.size(), "%016" PRIx64, static_cast<std::uint64_t>(fingerprint));
    return text.data();
}

std::optional<core::Fingerprint> parseFingerprint(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return core::Fingerprint { value };
}

}
