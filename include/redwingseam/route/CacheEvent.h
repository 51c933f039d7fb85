#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::route {

// Reports that an engine stored or evicted the cache of a prompt prefix. Events may be late or missing.
struct CacheEvent {
    base::UpstreamName upstream;
    // Hash of the prefix, as route::prefixHashes() computes it over 256-byte blocks of the prompt.
    uint64_t prefixHash = 0;
    // Whether the prefix was stored; false if it was evicted.
    bool isStored = false;
};

} // namespace redwingseam::route
