#include "wire/header.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>
#include <string>
#include <vector>

namespace cranberryshed::wire {

namespace {

    constexpr std::array hopByHopFields = {
        http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::proxy_authenticate,
        http::field::proxy_authorization, http::field::te, http::field::trailer, http::field::upgrade, http::field::expect
    };

    // Kept in any message, whatever its Connection field lists.
    constexpr std::array alwaysEndToEndFields = { http::field::content_length, http::field::transfer_encoding, http::field::host };

    bool isEndToEnd(beast::string_view name, std::span<const std::string_view> endToEnd)
    {
        const bool isAlways = std::ranges::any_of(alwaysEndToEndFields, [&](http::field field) { return beast::iequals(name, http::to_string(field)); });
        return isAlways || std::ranges::any_of(endToEnd, [&](std::string_view field) { return beast::iequals(name, { field.data(), field.size() }); });
    }

    // The names that all Connection fields list.
    std::vector<std::string> connectionOptions(const Fields& fields)
    {
        std::vector<std::string> options;
        const auto [begin, end] = fields.equal_range(http::field::connection);
        for (auto entry = begin; entry != end; ++entry) {
            for (const auto& option : http::token_list(entry->value()))
                options.emplace_back(option);
        }
        return options;
    }

    std::optional<char> decodeHexPair(std::string_view pair)
    {
        unsigned value = 0;
        if (pair.size() != 2)
            return std::nullopt;
        const auto [end, error] = std::from_chars(pair.data(), pair.data() + 2, value, 16);
        if (error != std::errc() || end != pair.data() + 2)
            return std::nullopt;
        return static_cast<char>(value);
    }

    std::string percentDecoded(std::string_view text)
    {
        std::string result;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const std::optional<char> decoded = text[i] == '%' ? decodeHexPair(text.substr(i + 1, 2)) : std::nullopt;
            result += decoded.value_or(text[i]);
            if (decoded)
                i += 2;
        }
        return result;
    }

}

std::optional<core::ErrorKind> checkHeader(const RequestHeader& header)
{
    const auto hosts = header.count(http::field::host);
    if (hosts > 1 || (header.version() >= 11 && hosts == 0))
        return core::ErrorKind::BadRequest;
    if (header.count(http::field::content_length) > 1)
        return core::ErrorKind::BadRequest;
    const auto encodings = header.count(http::field::transfer_encoding);
    if (encodings > 1 || (encodings == 1 && !beast::iequals(header[http::field::transfer_encoding], "chunked")))
        return core::ErrorKind::BadRequest;
    if (encodings == 1 && (header.version() < 11 || header.count(http::field::content_length) > 0))
        return core::ErrorKind::BadRequest;
    if (header.method() == http::verb::connect || header.method() == http::verb::trace)
        return core::ErrorKind::BadRequest;
    if (header.target().empty() || header.target().front() != '/')
        return core::ErrorKind::BadRequest;
    return std::nullopt;
}

void removeHopByHop(Fields& fields, std::span<const std::string_view> endToEnd)
{
    for (const std::string& name : connectionOptions(fields)) {
        if (!isEndToEnd(name, endToEnd))
            fields.erase(name);
    }
    for (const http::field name : hopByHopFields)
        fields.erase(name);
}

std::optional<std::string> queryParameter(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view query = target.substr(question + 1);
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecoded(pair.substr(equals + 1));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
    }
    return std::nullopt;
}

std::optional<std::chrono::microseconds> millisecondsField(const Fields& fields, std::string_view name)
{
    const std::string_view text = toStd(fields[beast::string_view(name.data(), name.size())]);
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || value == 0)
        return std::nullopt;
    return std::chrono::milliseconds(value);
}

std::optional<core::Duration> retryAfterField(const Fields& fields)
{
    constexpr std::chrono::duration<double> longest = std::chrono::hours(24);
    const std::string_view text = toStd(fields[http::field::retry_after]);
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds, std::chars_format::fixed);
    if (error == std::errc::result_out_of_range && !text.starts_with('-'))
        return std::chrono::duration_cast<core::Duration>(longest);
    if (text.empty() || error != std::errc() || end != text.data() + text.size() || !std::isfinite(seconds) || seconds < 0)
        return std::nullopt;
    return std::chrono::duration_cast<core::Duration>(std::min(std::chrono::duration<double>(seconds), longest));
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr std::string_view unreservedMarks = "-._~";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte < 0x80 && (std::isalnum(byte) != 0 || unreservedMarks.find(character) != std::string_view::npos)) {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0xfU];
    }
    return encoded;
}

}
