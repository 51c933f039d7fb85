#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fakes {

// Size, timing and message faults of a FakeCluster.
struct ClusterOptions {
    uint64_t seed = 1;
    size_t nodes = 3;
    size_t dataCentres = 1;
    base::Duration linkDelay = std::chrono::milliseconds(1);
    base::Duration farDelay = std::chrono::milliseconds(20);
    base::Duration storeDelay = std::chrono::milliseconds(3);
    // Share of peer messages lost in transit.
    uint32_t lostMessagesPermille = 0;
    // Share of tokens that are delivered to a node a second time, late.
    uint32_t repeatedTokensPermille = 0;
    bool countsBytes = false;
};

} // namespace redwingseam::fakes
