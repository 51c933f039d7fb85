#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace redwingseam::base {

// 64-bit identifier, counter or hash with a distinct type per `Tag`, so that numbers of different kinds can't be
// mixed up. A plain value; not synchronised.
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
        // Fibonacci hashing (2^64 divided by the golden ratio) spreads consecutive numbers over the table.
        return static_cast<size_t>(number.value * 0x9E3779B97F4A7C15ULL);
    }
};
