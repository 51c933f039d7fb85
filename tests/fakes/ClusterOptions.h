#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::fakes {

// Size and timing of a fake world.
struct ClusterOptions {
    uint64_t seed = 1;
    size_t nodes = 3;
    size_t dataCentres = 1;
    base::Duration linkDelay = std::chrono::milliseconds(1);
    base::Duration farDelay = std::chrono::milliseconds(20);
    base::Duration storeDelay = std::chrono::milliseconds(3);
    // Peer messages lost on the way.
    uint32_t lostMessagesPermille = 0;
    // Tokens that reach a node a second time, late.
    uint32_t repeatedTokensPermille = 0;
    bool countsBytes = false;
};

} // namespace redwingseam::fakes
