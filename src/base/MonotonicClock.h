#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::base {

// The machine's monotonic clock.
struct MonotonicClock {
    Instant now() const
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
};

} // namespace redwingseam::base
