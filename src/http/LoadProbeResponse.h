#pragma once

#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"

#include <vector>

namespace redwingseam::http {

// Response of an engine to a load probe: its load, and the prefixes that it cached or evicted since the
// last response.
struct LoadProbeResponse {
    route::LoadReport load;
    std::vector<route::CacheEvent> cacheEvents;
};

} // namespace redwingseam::http
