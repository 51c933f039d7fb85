#include "route/UpstreamView.h"

#include <algorithm>

namespace redwingseam::route {

uint32_t UpstreamView::ownOf(base::Rank rank) const
{
    return static_cast<uint32_t>(std::count_if(flight.begin(), flight.end(), [&](const FlightEntry& entry) { return entry.rank == rank; }));
}

bool UpstreamView::hasFreeSlot(base::Rank rank) const
{
    if (!takesWork() || own() >= limit.value() + limit.reserve())
        return false;
    return rank == base::Rank::Urgent || own() - ownOf(base::Rank::Urgent) < limit.value();
}

uint32_t UpstreamView::estimatedLoad() const
{
    int64_t load = static_cast<int64_t>(reportedLoad) + own() - ownAtReport;
    return static_cast<uint32_t>(std::max<int64_t>(load, own()));
}

} // namespace redwingseam::route
