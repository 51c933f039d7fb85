#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::route {

// Load of an upstream as it reports it, some time after the fact.
struct LoadReport {
    base::UpstreamName upstream;
    uint32_t running = 0;
    uint32_t waiting = 0;
    // Whether the upstream says that it is about to leave.
    bool isLeaving = false;
};

} // namespace redwingseam::route
