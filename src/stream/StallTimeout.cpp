#include "stream/StallTimeout.h"

#include <algorithm>

namespace redwingseam::stream {

static constexpr int64_t deviationFactor = 4;

base::Duration stallTimeout(const settings::Policy& policy, const TokenIntervalEstimator& intervals, bool hasTokenOfAttempt)
{
    if (!hasTokenOfAttempt)
        return policy.firstTokenSuspicion;
    if (!intervals.hasSamples())
        return policy.suspicionCeiling;
    auto limit = intervals.mean() * policy.suspicionGapFactor + intervals.deviation() * deviationFactor;
    auto ceiling = std::max(policy.suspicionFloor, policy.suspicionCeiling);
    return std::clamp(limit, policy.suspicionFloor, ceiling);
}

} // namespace redwingseam::stream
