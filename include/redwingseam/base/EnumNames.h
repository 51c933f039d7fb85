#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <utility>

namespace redwingseam::base {

// Table of an enum's names. Specialise it with a static constexpr array `entries` of
// (enumerator, name) pairs, in the order of the enumerators.
template<typename Enum>
struct EnumNames;

template<typename Enum>
concept NamedEnum = requires
{
    EnumNames<Enum>::entries.size();
};

// Name of an enumerator, "unknown" for a value outside the table.
template<NamedEnum Enum>
constexpr std::string_view nameOf(Enum value)
{
    for (const auto& [enumerator, name] : EnumNames<Enum>::entries) {
        if (enumerator == value)
            return name;
    }
    return "unknown";
}

// Enumerator of a name, nothing if the table has no such name.
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
