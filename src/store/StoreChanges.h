#pragma once

#include "redwingseam/store/ObjectChanged.h"

#include <cstdint>
#include <vector>

namespace redwingseam::store {

// Changes returned by a list or a watch, and the store revision to continue from.
struct StoreChanges {
    uint64_t revision = 0;
    std::vector<ObjectChanged> changes;
};

} // namespace redwingseam::store
