#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace redwingseam::base {

// A number of tokens that a client stated, or a sum of such numbers. Saturates at 0 and at `maxValue`, so that no sum wraps
// around, and neither does a product with a factor below 2^24.
class TokenCount {
public:
    // Beyond any sum of real requests.
    static constexpr uint64_t maxValue = 1ULL << 40;

    constexpr TokenCount() = default;
    constexpr TokenCount(uint64_t value)
        : m_value(std::min(value, maxValue))
    {
    }

    constexpr uint64_t value() const { return m_value; }
    constexpr bool isZero() const { return !m_value; }
    constexpr explicit operator double() const { return static_cast<double>(m_value); }

    constexpr TokenCount& operator+=(TokenCount other) { return *this = m_value + other.m_value; }
    constexpr TokenCount& operator-=(TokenCount other) { return *this = m_value - std::min(m_value, other.m_value); }
    friend constexpr TokenCount operator+(TokenCount left, TokenCount right) { return left += right; }
    friend constexpr TokenCount operator-(TokenCount left, TokenCount right) { return left -= right; }
    auto operator<=>(const TokenCount&) const = default;

private:
    uint64_t m_value = 0;
};

} // namespace redwingseam::base
