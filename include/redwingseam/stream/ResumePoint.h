#pragma once

#include "redwingseam/base/Ids.h"

#include <cstdint>

namespace redwingseam::stream {

// Position of a caller in a stream: the number of tokens delivered, the rolling hash over their ids, and
// the seed and pool that are needed to generate the same tokens again.
struct ResumePoint {
    uint32_t delivered = 0;
    uint64_t transcriptHash = 0;
    uint64_t seed = 0;
    base::PoolName pool;

    bool operator==(const ResumePoint&) const = default;
};

} // namespace redwingseam::stream
