#include "route/UpstreamView.h"

#include <algorithm>

namespace redwingseam::route {

uint32_t UpstreamView::ownRequestsOfRank(base::Rank rank) const
{
    return static_cast<uint32_t>(std::count_if(inFlight.begin(), inFlight.end(), [&](const InFlightRequest& entry) { return entry.rank == rank; }));
}

bool UpstreamView::hasFreeSlot(base::Rank rank) const
{
    if (!takesWork() || ownRequests() >= limit.value() + limit.reserve())
        return false;
    return rank == base::Rank::Urgent || ownRequests() - ownRequestsOfRank(base::Rank::Urgent) < limit.value();
}

uint32_t UpstreamView::estimatedLoad() const
{
    int64_t load = static_cast<int64_t>(reportedLoad) + ownRequests() - ownRequestsAtReport;
    return static_cast<uint32_t>(std::max<int64_t>(load, ownRequests()));
}

} // namespace redwingseam::route
