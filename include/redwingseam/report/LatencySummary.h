#pragma once

#include <cstdint>
#include <vector>

namespace redwingseam::report {

// Latency histogram: the upper bound of each bin in milliseconds, and its number of samples.
struct LatencySummary {
    std::vector<double> upperBoundsMs;
    std::vector<uint64_t> counts;
    uint64_t total = 0;

    // Returns the upper bound in milliseconds of the bin that holds the given quantile (0 to 1); 0 without samples.
    double quantileMs(double quantile) const;
};

} // namespace redwingseam::report
