#pragma once

#include "redwingseam/base/Rank.h"

#include <array>
#include <cstdint>

namespace redwingseam::schedule {

// Share of capacity, in thousandths, that each rank keeps while ranks above it flood.
struct RankFloors {
    std::array<int64_t, base::rankCount> permille { 0, 150, 50 };
};

} // namespace redwingseam::schedule
