#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// All upstreams that the store lists.
struct UpstreamList {
    // The store's revision as of which the list holds.
    uint64_t revision = 0;
    std::vector<fleet::UpstreamInstance> upstreams;
};

} // namespace redwingseam::sync
