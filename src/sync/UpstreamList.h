#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// All upstreams that are registered in the store.
struct UpstreamList {
    // The store's revision at which the list was valid.
    uint64_t revision = 0;
    std::vector<fleet::UpstreamInstance> upstreams;
};

} // namespace redwingseam::sync
