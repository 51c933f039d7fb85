#pragma once

#include "redwingseam/base/Instant.h"

#include <ctime>

namespace redwingseam::base {

// Monotonic clock that also counts the time for which the machine was suspended, so that what was
// confirmed before a suspension is as old afterwards as it really is. Thread-safe.
class BootClock {
public:
    Instant now() const
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

} // namespace redwingseam::base
