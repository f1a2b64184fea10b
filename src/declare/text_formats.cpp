#include "declare/text_formats.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace cranberryshed::declare {

namespace {

    constexpr std::size_t maxNameLength = 64;

    // Parses an unsigned decimal number. Returns nothing if any other character is in the text.
    std::optional<unsigned> parseUnsigned(std::string_view text)
    {
        unsigned value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::optional<std::uint32_t> parseAddress(std::string_view text)
    {
        std::uint32_t address = 0;
        for (int octet = 0; octet < 4; ++octet) {
            std::size_t dot = octet < 3 ? text.find('.') : text.size();
            if (dot == std::string_view::npos || dot > 3)
                return std::nullopt;
            std::optional<unsigned> value = parseUnsigned(text.substr(0, dot));
            if (!value || *value > 255)
                return std::nullopt;
            address = address << 8 | *value;
            text.remove_prefix(octet < 3 ? dot + 1 : dot);
        }
        return address;
    }

    // The bits of an address beyond the prefix.
    std::uint32_t hostMask(unsigned prefixLength)
    {
        return prefixLength == 0 ? ~0U : prefixLength == 32 ? 0U
                                                            : ~0U >> prefixLength;
    }

}

std::optional<core::WallTime> parseTime(std::string_view text)
{
    constexpr std::string_view pattern = "0000-00-00T00:00:00Z";
    if (text.size() != pattern.size())
        return std::nullopt;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        bool isDigit = text[i] >= '0' && text[i] <= '9';
        if (pattern[i] == '0' ? !isDigit : text[i] != pattern[i])
            return std::nullopt;
    }
    auto number = [&](std::size_t start, std::size_t length) { return *parseUnsigned(text.substr(start, length)); };
    std::chrono::year_month_day date { std::chrono::year(static_cast<int>(number(0, 4))),
        std::chrono::month(number(5, 2)), std::chrono::day(number(8, 2)) };
    if (!date.ok() || number(11, 2) > 23 || number(14, 2) > 59 || number(17, 2) > 59)
        return std::nullopt;
    return std::chrono::sys_days(date) + std::chrono::hours(number(11, 2)) + std::chrono::minutes(number(14, 2))
        + std::chrono::seconds(number(17, 2));
}

std::string formatTime(core::WallTime time)
{
    auto day = std::chrono::floor<std::chrono::days>(time);
    std::chrono::year_month_day date(day);
    std::chrono::hh_mm_ss clock(std::chrono::floor<std::chrono::seconds>(time - day));
    std::array<char, 48> text {};
    std::snprintf(text.data(), text.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ", static_cast<int>(date.year()),
        static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()), static_cast<int>(clock.hours().count()),
        static_cast<int>(clock.minutes().count()), static_cast<int>(clock.seconds().count()));
    return text.data();
}

std::optional<Prefix> parsePrefix(std::string_view text)
{
    std::size_t slash = text.find('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    std::optional<std::uint32_t> address = parseAddress(text.substr(0, slash));
    std::optional<unsigned> length = parseUnsigned(text.substr(slash + 1));
    if (!address || !length || *length > 32 || (*address & hostMask(*length)) != 0)
        return std::nullopt;
    return Prefix { .firstAddress = *address, .length = static_cast<std::uint8_t>(*length) };
}

std::string formatPrefix(Prefix prefix)
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8)
        text += std::to_string(prefix.firstAddress >> shift & 255) + (shift > 0 ? "." : "/");
    return text + std::to_string(prefix.length);
}

bool isEndpoint(std::string_view text)
{
    std::size_t colon = text.find(':');
    if (colon == std::string_view::npos || !parseAddress(text.substr(0, colon)))
        return false;
    std::optional<unsigned> port = parseUnsigned(text.substr(colon + 1));
    return port && *port >= 1 && *port <= 65535;
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameLength && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
}

}
