#pragma once

#include "sync/UpstreamChange.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// The result of a watch: the changes of the store's list of upstreams, in order.
struct UpstreamWatchResult {
    // The store's revision from which to continue the watch.
    uint64_t revision = 0;
    std::vector<UpstreamChange> changes;
};

} // namespace redwingseam::sync
