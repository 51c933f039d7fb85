#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::claim {

// The next object number of a claim log at the time `at` of this node's clock. Marks turn the retention time
// into an object number.
struct LogMark {
    base::Instant at;
    uint64_t nextNumber = 0;
};

} // namespace redwingseam::claim
