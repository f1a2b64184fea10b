#pragma once

#include "core/types.h"

#include <charconv>
#include <optional>
#include <string_view>

namespace cranberryshed::core {

// Parses a non-negative number followed by its unit, "ms" or "s", such as "1500ms" or "2.5s", up to 10 years. Returns
// nothing for any other text.
inline std::optional<Duration> parseDuration(std::string_view text)
{
    constexpr double microsecondsPerMillisecond = 1e3;
    constexpr double microsecondsPerSecond = 1e6;
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
    if (error != std::errc() || (unit != "ms" && unit != "s"))
        return std::nullopt;
    const double microseconds = number * (unit == "s" ? microsecondsPerSecond : microsecondsPerMillisecond);
    constexpr auto longest = std::chrono::duration_cast<Duration>(std::chrono::years(10));
    const bool isInRange = microseconds >= 0 && microseconds <= static_cast<double>(longest.count()); // false for NaN, too
    return isInRange ? std::optional(Duration(static_cast<Duration::rep>(microseconds))) : std::nullopt;
}

}
