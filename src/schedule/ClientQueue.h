#pragma once

#include "schedule/QueuedWork.h"

#include <cstdint>
#include <deque>

namespace redwingseam::schedule {

// Queued work of one client at one rank, with the virtual start time of its next item.
struct ClientQueue {
    std::deque<QueuedWork> work;
    uint64_t startTag = 0;
};

} // namespace redwingseam::schedule
