#pragma once

#include "redwingseam/report/MissCause.h"

#include <array>
#include <cstdint>

namespace redwingseam::report {

// How often an objective was met and missed in one window, and what the misses were due to.
struct BurnRateCell {
    uint64_t met = 0;
    uint64_t missed = 0;
    std::array<uint64_t, missCauseCount> causes {};
    // Share of requests that must meet the objective, in thousandths.
    int64_t objectivePermille = 950;

    void add(const BurnRateCell& other);
    // Speed at which the error budget is used up; 1 uses it up exactly, 0 where nothing was counted.
    double burnRate() const;
};

} // namespace redwingseam::report
