#pragma once

#include "sync/UpstreamChange.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// What changed in the store's list, in order.
struct UpstreamChanges {
    // The store's revision from which to go on.
    uint64_t revision = 0;
    std::vector<UpstreamChange> changes;
};

} // namespace redwingseam::sync
