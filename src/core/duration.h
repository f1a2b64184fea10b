#pragma once

#include "core/types.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace cranberryshed::core {

// Parses a non-negative number followed by its unit, "ms" or "s", such as "1500ms" or "2.5s". Returns nothing for any
// other text.
inline std::optional<Duration> parseDuration(std::string_view text)
{
    constexpr double microsecondsPerMillisecond = 1e3;
    constexpr double microsecondsPerSecond = 1e6;
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (error != std::errc() || number < 0 || (unit != "ms" && unit != "s"))
        return std::nullopt;
    return Duration(static_cast<Duration::rep>(number * (unit == "s" ? microsecondsPerSecond : microsecondsPerMillisecond)));
}

}
