#include "gateway/RequestSettingsOf.h"

namespace redwingseam::gateway {

// The objective is that output resumes within 5 s after an upstream is lost.
static constexpr base::Duration resumeTarget = std::chrono::seconds(5);
// The objective is that 95 % of the measurements meet their targets.
static constexpr int64_t objectivePermille = 950;

static base::Rank rankOf(uint32_t priority)
{
    if (priority == 0)
        return base::Rank::Urgent;
    return priority == 1 ? base::Rank::Standard : base::Rank::Deferrable;
}

settings::RequestSettings requestSettingsOf(const manifest::Route& route, uint32_t priority)
{
    settings::RequestSettings requestSettings;
    requestSettings.rank = rankOf(priority);
    requestSettings.firstTokenTarget = route.latencyObjective;
    requestSettings.betweenTokensTarget = route.gapObjective;
    requestSettings.suspicionFloor = route.gapObjective;
    requestSettings.resumeTarget = resumeTarget;
    requestSettings.objectivePermille = objectivePermille;
    requestSettings.isIdempotent = route.isRepeatable();
    return requestSettings;
}

} // namespace redwingseam::gateway
