#pragma once

#include "sync/NodeRecord.h"

#include <cstdint>
#include <vector>

namespace redwingseam::sync {

// The nodes that are registered in the store.
struct NodeList {
    // The era of the store that returned the list.
    uint64_t era = 0;
    std::vector<NodeRecord> nodes;
};

} // namespace redwingseam::sync
