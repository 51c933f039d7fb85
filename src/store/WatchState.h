#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::store {

// How far a watch of one prefix has come.
struct WatchState {
    // Revision after which changes are wanted; 0 asks for a list of everything.
    uint64_t revision = 0;
    bool isInFlight = false;
    bool isWanted = true;
    uint32_t consecutiveFailures = 0;
    base::Instant notBefore;
};

} // namespace redwingseam::store
