#pragma once

#include "redwingseam/fleet/UpstreamInstance.h"
#include "sync/StoreVersion.h"

#include <vector>

namespace redwingseam::sync {

// All upstreams that are registered in the store.
struct UpstreamList {
    // The state of the store in which the list was valid.
    StoreVersion version;
    std::vector<fleet::UpstreamInstance> upstreams;
};

} // namespace redwingseam::sync
