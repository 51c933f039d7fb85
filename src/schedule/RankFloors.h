#pragma once

#include "redwingseam/base/Rank.h"

#include <array>
#include <cstdint>

namespace redwingseam::schedule {

// Guaranteed minimum share of capacity of each rank, in thousandths, while higher ranks are overloaded.
struct RankFloors {
    std::array<int64_t, base::rankCount> permille { 0, 150, 50 };
};

} // namespace redwingseam::schedule
