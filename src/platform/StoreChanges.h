#pragma once

#include "redwingseam/platform/ObjectChanged.h"

#include <cstdint>
#include <vector>

namespace redwingseam::platform {

// What a list or a watch brought.
struct StoreChanges {
    uint64_t revision = 0;
    std::vector<ObjectChanged> changes;
};

} // namespace redwingseam::platform
