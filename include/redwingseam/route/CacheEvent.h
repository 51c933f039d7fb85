#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::route {

// Reports that an engine stored or evicted the cache of a prompt prefix. Events may be late or missing.
struct CacheEvent {
    base::UpstreamName upstream;
    uint64_t prefixHash = 0;
    bool isStored = false;
};

} // namespace redwingseam::route
