#include "route/UpstreamView.h"

#include <algorithm>

namespace redwingseam::route {

uint32_t UpstreamView::estimatedLoad() const
{
    int64_t load = static_cast<int64_t>(reportedLoad) + own() - ownAtReport;
    return static_cast<uint32_t>(std::max<int64_t>(load, own()));
}

} // namespace redwingseam::route
