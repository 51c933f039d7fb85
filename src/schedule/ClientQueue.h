#pragma once

#include "schedule/QueuedWork.h"

#include <cstdint>
#include <deque>

namespace redwingseam::schedule {

// Waiting work of one client in one rank, with the virtual time at which its next piece may start.
struct ClientQueue {
    std::deque<QueuedWork> work;
    uint64_t startTag = 0;
};

} // namespace redwingseam::schedule
