#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::stream {

// How far a caller has read: the number of tokens delivered, the rolling hash over their ids, and
// what is needed to generate the same tokens again.
struct ResumePoint {
    uint32_t delivered = 0;
    uint64_t prefixHash = 0;
    uint64_t seed = 0;
    base::PoolName pool;

    bool operator==(const ResumePoint&) const = default;
};

} // namespace redwingseam::stream
