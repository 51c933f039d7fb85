#include "stream/StallTimeout.h"

#include <algorithm>

namespace redwingseam::stream {

static constexpr int64_t deviationFactor = 4;

base::Duration stallTimeout(const settings::RequestSettings& requestSettings, const TokenIntervalEstimator& intervals, bool hasTokenOfAttempt)
{
    if (!hasTokenOfAttempt)
        return requestSettings.firstTokenSuspicion;
    if (!intervals.hasSamples())
        return requestSettings.suspicionCeiling;
    auto limit = intervals.mean() * requestSettings.suspicionGapFactor + intervals.deviation() * deviationFactor;
    auto ceiling = std::max(requestSettings.suspicionFloor, requestSettings.suspicionCeiling);
    return std::clamp(limit, requestSettings.suspicionFloor, ceiling);
}

} // namespace redwingseam::stream
