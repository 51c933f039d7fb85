#include "redwingseam/report/LatencySummary.h"

#include <cstddef>

namespace redwingseam::report {

double LatencySummary::quantileMs(double quantile) const
{
    if (!total)
        return 0;
    auto target = quantile * static_cast<double>(total);
    double reached = 0;
    for (size_t bin = 0; bin < counts.size(); ++bin) {
        reached += static_cast<double>(counts[bin]);
        if (reached >= target)
            return upperBoundsMs[bin];
    }
    return upperBoundsMs.back();
}

} // namespace redwingseam::report
