#include "stream/SuspicionTimeout.h"

#include <algorithm>

namespace redwingseam::stream {

static constexpr int64_t deviationFactor = 4;

base::Duration suspicionTimeout(const settings::RequestSettings& requestSettings, const GapEstimator& gaps, bool hasTokenOfAttempt)
{
    if (!hasTokenOfAttempt)
        return requestSettings.firstTokenSuspicion;
    if (!gaps.hasSamples())
        return requestSettings.suspicionCeiling;
    auto limit = gaps.mean() * requestSettings.suspicionGapFactor + gaps.deviation() * deviationFactor;
    auto ceiling = std::max(requestSettings.suspicionFloor, requestSettings.suspicionCeiling);
    return std::clamp(limit, requestSettings.suspicionFloor, ceiling);
}

} // namespace redwingseam::stream
