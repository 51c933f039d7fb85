#pragma once

#include "redwingseam/report/Counters.h"
#include "redwingseam/report/Objective.h"
#include "report/MinuteRing.h"

#include <array>
#include <boost/histogram.hpp>
#include <vector>

namespace redwingseam::report {

using LatencyAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using LatencyHistogram = boost::histogram::histogram<std::tuple<LatencyAxis>, boost::histogram::dense_storage<uint64_t>>;

// Counters and histograms of the threads that map to one shard. Guarded by the shard's lock.
struct SloRecorderShard {
    // Covers 0.1 ms to 10 min; with 12 bins per decade a quantile is reported at most 21 % too high.
    static constexpr int bins = 81;
    static constexpr double lowestMs = 0.1;
    static constexpr double highestMs = 600'000;

    std::array<std::array<MinuteRing, objectiveCount>, base::rankCount> rings;
    std::vector<LatencyHistogram> histograms = std::vector<LatencyHistogram>(base::rankCount * objectiveCount, LatencyHistogram(std::make_tuple(LatencyAxis(bins, lowestMs, highestMs))));
    Counters counters;

    LatencyHistogram& histogram(base::Rank rank, Objective objective) { return histograms[base::indexOf(rank) * objectiveCount + indexOf(objective)]; }
};

} // namespace redwingseam::report
