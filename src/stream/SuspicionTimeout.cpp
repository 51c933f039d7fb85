#include "stream/SuspicionTimeout.h"

#include <algorithm>

namespace redwingseam::stream {

static constexpr int64_t deviationFactor = 4;

base::Duration suspicionTimeout(const settings::Policy& policy, const GapEstimator& gaps, bool hasTokenOfAttempt)
{
    if (!hasTokenOfAttempt)
        return policy.firstTokenSuspicion;
    if (!gaps.hasSamples())
        return policy.suspicionCeiling;
    auto limit = gaps.mean() * policy.suspicionGapFactor + gaps.deviation() * deviationFactor;
    auto ceiling = std::max(policy.suspicionFloor, policy.suspicionCeiling);
    return std::clamp(limit, policy.suspicionFloor, ceiling);
}

} // namespace redwingseam::stream
