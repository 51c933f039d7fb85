#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::route {

// An engine's word that it stored or evicted the cache of a prompt prefix. Late, and with gaps.
struct CacheEvent {
    base::UpstreamName upstream;
    uint64_t prefixHash = 0;
    bool isStored = false;
};

} // namespace redwingseam::route
