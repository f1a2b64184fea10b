#include "declare/text_formats.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace cranberryshed::declare {

namespace {

    constexpr std::size_t longestName = 64;

    // Reads all of the text as an unsigned decimal number.
    std::optional<unsigned> readNumber(std::string_view text)
    {
        unsigned value = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (text.empty() || error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    std::optional<std::uint32_t> readAddress(std::string_view text)
    {
        std::uint32_t address = 0;
        for (int part = 0; part < 4; ++part) {
            std::size_t dot = part < 3 ? text.find('.') : text.size();
            if (dot == std::string_view::npos || dot > 3)
                return std::nullopt;
            std::optional<unsigned> value = readNumber(text.substr(0, dot));
            if (!value || *value > 255)
                return std::nullopt;
            address = address << 8 | *value;
            text.remove_prefix(part < 3 ? dot + 1 : dot);
        }
        return address;
    }

    std::uint32_t hostBits(unsigned prefixLength)
    {
        return prefixLength == 0 ? ~0U : prefixLength == 32 ? 0U
                                                            : ~0U >> prefixLength;
    }

}

std::optional<core::WallTime> parseTime(std::string_view text)
{
    constexpr std::string_view form = "0000-00-00T00:00:00Z";
    if (text.size() != form.size())
        return std::nullopt;
    for (std::size_t i = 0; i < form.size(); ++i) {
        bool digit = text[i] >= '0' && text[i] <= '9';
        if (form[i] == '0' ? !digit : text[i] != form[i])
            return std::nullopt;
    }
    auto number = [&](std::size_t start, std::size_t length) { return *readNumber(text.substr(start, length)); };
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
    std::optional<std::uint32_t> address = readAddress(text.substr(0, slash));
    std::optional<unsigned> length = readNumber(text.substr(slash + 1));
    if (!address || !length || *length > 32 || (*address & hostBits(*length)) != 0)
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
    if (colon == std::string_view::npos || !readAddress(text.substr(0, colon)))
        return false;
    std::optional<unsigned> port = readNumber(text.substr(colon + 1));
    return port && *port >= 1 && *port <= 65535;
}

bool isValidName(std::string_view text)
{
    return !text.empty() && text.size() <= longestName && std::all_of(text.begin(), text.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
    });
}

}
