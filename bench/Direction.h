#pragma once

#include "redwingseam/base/EnumNames.h"

#include <cstdint>

namespace redwingseam::bench {

// On which side of its bound a figure must stay.
enum class Direction : uint8_t {
    AtMost,
    AtLeast,
    // Printed for comparison; has no bound.
    Shown,
};

} // namespace redwingseam::bench

template<>
struct redwingseam::base::EnumNames<redwingseam::bench::Direction> {
    using Direction = redwingseam::bench::Direction;
    static constexpr std::array entries {
        std::pair { Direction::AtMost, std::string_view { "at_most" } },
        std::pair { Direction::AtLeast, std::string_view { "at_least" } },
        std::pair { Direction::Shown, std::string_view { "shown" } },
    };
};
