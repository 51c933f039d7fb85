#pragma once

#include "redwingseam/base/Instant.h"

#include <ctime>

namespace redwingseam::base {

// Monotonic clock that keeps running while the machine is suspended, so that data confirmed before a
// suspension has its true age afterwards. Its instants must not be compared with a MonotonicClock's. Thread-safe.
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
