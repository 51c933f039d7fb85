#pragma once

#include "redwingseam/membership/Fact.h"

#include <cstdint>
#include <map>

namespace redwingseam::membership {

// Facts whose keys fall into one bucket, with the combined hash of their versions.
struct FactBucket {
    std::map<FactKey, Fact> facts;
    uint64_t hash = 0;
};

} // namespace redwingseam::membership
