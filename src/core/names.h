#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cranberryshed::core {

// The table of names of an enumeration, in the order of its enumerators, whose values start at 0 without gaps.
// Parsing, logs, metrics and the state dump use the same table.
//
// Specialise with `static constexpr std::array values = { "first", "second" };`.
template <typename Enum>
struct Names;

template <typename Enum>
concept NamedEnum = requires
{
    Names<Enum>::values.size();
};

template <NamedEnum Enum>
constexpr std::size_t enumeratorCount()
{
    return Names<Enum>::values.size();
}

template <NamedEnum Enum>
constexpr std::string_view nameOf(Enum value)
{
    return Names<Enum>::values[static_cast<std::size_t>(value)];
}

// Returns the enumerator with this name, or nothing if the enumeration has no such name.
template <NamedEnum Enum>
constexpr std::optional<Enum> parseName(std::string_view name)
{
    for (std::size_t i = 0; i < enumeratorCount<Enum>(); ++i) {
        if (Names<Enum>::values[i] == name)
            return static_cast<Enum>(i);
    }
    return std::nullopt;
}

// Returns all names, separated by commas, for messages that list the allowed values.
template <NamedEnum Enum>
std::string joinedNames()
{
    std::string text;
    for (std::string_view name : Names<Enum>::values) {
        if (!text.empty())
            text += ", ";
        text += name;
    }
    return text;
}

}
