#pragma once

#include "redwingseam/route/CacheEvent.h"
#include "redwingseam/route/LoadReport.h"

#include <vector>

namespace redwingseam::http {

// An engine's load answer: how busy it is, and what it cached or evicted since the last one.
struct EngineLoad {
    route::LoadReport load;
    std::vector<route::CacheEvent> cacheEvents;
};

} // namespace redwingseam::http
