#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::store {

// Progress of the watch of one prefix.
struct WatchState {
    // The watch continues after this revision; 0 requests a list of all objects.
    uint64_t revision = 0;
    bool isInFlight = false;
    bool isWanted = true;
    uint32_t consecutiveFailures = 0;
    base::Instant notBefore;
};

} // namespace redwingseam::store
