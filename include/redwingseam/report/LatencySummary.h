#pragma once

#include <cstdint>
#include <vector>

namespace redwingseam::report {

// Histogram of times: upper edge of each bin in milliseconds, and the count in it.
struct LatencySummary {
    std::vector<double> upperBoundsMs;
    std::vector<uint64_t> counts;
    uint64_t total = 0;

    // Upper edge of the bin in which the share `quantile` of all times is reached; 0 without samples.
    double quantileMs(double quantile) const;
};

} // namespace redwingseam::report
