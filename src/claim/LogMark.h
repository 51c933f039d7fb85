#pragma once

#include "redwingseam/base/Instant.h"

#include <cstdint>

namespace redwingseam::claim {

// The position of a claim log at a time, by this node's clock.
struct LogMark {
    base::Instant at;
    uint64_t nextNumber = 0;
};

} // namespace redwingseam::claim
