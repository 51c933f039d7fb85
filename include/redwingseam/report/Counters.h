#pragma once

#include "redwingseam/base/Rank.h"

#include <array>
#include <cstdint>

namespace redwingseam::report {

// Numbers of events since the node started. Not synchronised.
struct Counters {
    std::array<uint64_t, base::rankCount> requests {};
    std::array<uint64_t, base::rankCount> finished {};
    std::array<uint64_t, base::rankCount> refused {};
    uint64_t preemptions = 0;
    uint64_t suspicions = 0; // Streams that stalled and were queued for a hedged attempt.
    uint64_t upstreamLosses = 0; // Times that an upstream was marked as down.

    void add(const Counters& other);
};

} // namespace redwingseam::report
