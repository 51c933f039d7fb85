#pragma once

#include "redwingseam/membership/GossipEntry.h"

#include <cstdint>
#include <map>

namespace redwingseam::membership {

// Entries whose keys hash to one bucket, with the combined hash of their versions.
struct GossipBucket {
    std::map<GossipKey, GossipEntry> entries;
    uint64_t hash = 0;
};

} // namespace redwingseam::membership
