#pragma once

#include "redwingseam/report/MissCause.h"

#include <array>
#include <cstdint>

namespace redwingseam::report {

// Counts of how often an objective was met and missed in one window, and of the causes of the misses. Not
// synchronised.
struct BurnRateCell {
    uint64_t met = 0;
    uint64_t missed = 0;
    std::array<uint64_t, missCauseCount> causes {};
    // Share of requests that must meet the objective, in permille.
    int64_t objectivePermille = 950;

    // Adds the counts of `other` and adopts its objective.
    void add(const BurnRateCell& other);
    // Returns the rate at which the error budget is consumed: 1 consumes it exactly, 0 means that nothing was
    // counted. An objective of 1000 permille has no budget and yields 1000 after any miss.
    double burnRate() const;
};

} // namespace redwingseam::report
