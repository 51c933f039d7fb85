#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::sync {

// One moment by the clock of this process and by the time of day, in milliseconds since 1970. Converts times that are kept outside
// the process.
struct ClockReading {
    base::Instant now {};
    uint64_t wallMilliseconds = 0;
};

} // namespace redwingseam::sync
