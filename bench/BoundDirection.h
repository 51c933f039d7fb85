#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::bench {

// The side of its bound on which a figure must stay.
enum class BoundDirection : uint8_t {
    AtMost,
    AtLeast,
    // The figure has no bound and is printed for comparison.
    Unbounded,
};

} // namespace redwingseam::bench

template<>
struct redwingseam::base::EnumNames<redwingseam::bench::BoundDirection> {
    using BoundDirection = redwingseam::bench::BoundDirection;
    static constexpr std::array entries {
        std::pair { BoundDirection::AtMost, std::string_view { "at_most" } },
        std::pair { BoundDirection::AtLeast, std::string_view { "at_least" } },
        std::pair { BoundDirection::Unbounded, std::string_view { "shown" } },
    };
};
