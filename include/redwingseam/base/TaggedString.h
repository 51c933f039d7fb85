#pragma once

#include <compare>
#include <functional>
#include <string>

namespace redwingseam::base {

// String identifier with a distinct type per `Tag`, so that identifiers of different kinds can't be mixed up.
// A plain value; not synchronised.
template<typename Tag>
struct TaggedString {
    std::string text;

    auto operator<=>(const TaggedString&) const = default;
    bool empty() const { return text.empty(); }
};

} // namespace redwingseam::base

template<typename Tag>
struct std::hash<redwingseam::base::TaggedString<Tag>> {
    size_t operator()(const redwingseam::base::TaggedString<Tag>& name) const noexcept
    {
        return std::hash<std::string> {}(name.text);
    }
};
