#pragma once

#include "redwingseam/base/Instant.h"

#include <ctime>

namespace redwingseam::bench {

// Clock of the processor time that the calling thread has used. Stands still while the thread is preempted.
struct ThreadCpuClock {
    std::chrono::nanoseconds now() const
    {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    }
};

} // namespace redwingseam::bench
