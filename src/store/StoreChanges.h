#pragma once

#include "redwingseam/store/ObjectChanged.h"

#include <cstdint>
#include <vector>

namespace redwingseam::store {

// What a list or a watch brought.
struct StoreChanges {
    uint64_t revision = 0;
    std::vector<ObjectChanged> changes;
};

} // namespace redwingseam::store
