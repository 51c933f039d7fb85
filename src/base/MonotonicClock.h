#pragma once

#include "redwingseam/base/Instant.h"

namespace redwingseam::base {

// Monotonic clock of the operating system. Thread-safe.
struct MonotonicClock {
    Instant now() const
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
};

} // namespace redwingseam::base
