#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace redwingseam::base {

// 64-bit identifier or counter that can't be confused with one of another `Tag`. A plain value.
template<typename Tag>
struct TaggedNumber {
    uint64_t value = 0;

    auto operator<=>(const TaggedNumber&) const = default;
};

} // namespace redwingseam::base

template<typename Tag>
struct std::hash<redwingseam::base::TaggedNumber<Tag>> {
    size_t operator()(redwingseam::base::TaggedNumber<Tag> number) const noexcept
    {
        // Spreads consecutive numbers over the table (64-bit finaliser of the golden ratio).
        return static_cast<size_t>(number.value * 0x9E3779B97F4A7C15ULL);
    }
};
