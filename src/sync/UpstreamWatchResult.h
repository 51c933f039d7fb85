#pragma once

#include "sync/StoreVersion.h"
#include "sync/UpstreamChange.h"

#include <vector>

namespace redwingseam::sync {

// The result of a watch: the changes of the store's list of upstreams, in order.
struct UpstreamWatchResult {
    // The state from which to continue the watch. An era other than that of the watch makes the changes meaningless.
    StoreVersion version;
    std::vector<UpstreamChange> changes;
};

} // namespace redwingseam::sync
