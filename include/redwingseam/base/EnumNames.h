#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace redwingseam::base {

// Table of the names of an enum. A specialisation provides a static constexpr array `entries` of
// (enumerator, name) pairs, in the order of the enumerators.
template<typename Enum>
struct EnumNames;

template<typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::entries.size();
};

// Returns the name of an enumerator, or "unknown" for a value outside the table.
template<NamedEnum Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::entries) {
        if (enumerator == value)
            return name;
    }
    return "unknown";
}

// Returns the enumerator with the given name, or std::nullopt if the table has no such name.
template<NamedEnum Enum>
constexpr std::optional<Enum> enumFromName(std::string_view text)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::entries) {
        if (name == text)
            return enumerator;
    }
    return std::nullopt;
}

} // namespace redwingseam::base
