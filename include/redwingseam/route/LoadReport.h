#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::route {

// The load of an upstream in requests, as the upstream reports it. The counts include the requests of all
// nodes. Reports arrive with a delay.
struct LoadReport {
    base::UpstreamName upstream;
    // Requests that hold a slot.
    uint32_t running = 0;
    // Requests that are queued in the upstream.
    uint32_t waiting = 0;
    // Whether the upstream announces that it is about to shut down.
    bool isLeaving = false;
};

} // namespace redwingseam::route
