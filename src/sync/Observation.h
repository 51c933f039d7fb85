#pragma once

#include "redwingseam/base/Instant.h"
#include "sync/StoreVersion.h"

#include <cstdint>

namespace redwingseam::sync {

// When, and by which list, a leader looks at the numbers of upstreams. A plain value.
struct Observation {
    uint64_t era = 0;
    StoreVersion list;
    // Streams that began before are not taken up any more. In milliseconds since 1970.
    uint64_t oldest = 0;
    base::Instant now {};
    // In milliseconds since 1970.
    uint64_t timeOfDay = 0;
};

} // namespace redwingseam::sync
